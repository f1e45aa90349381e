#include "gateway/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace waxwingwing {
namespace {

constexpr int kBacklog = 1024;
// Avoids a busy loop when accepting keeps failing, for example without free file descriptors.
constexpr milliseconds kPauseAfterError{50};

awaitable<void> RunSession(std::shared_ptr<session> served) { co_await served->Run(); }

}  // namespace

listener::listener(gateway_core& core, const filter_chain& filters,
                   const std::vector<std::unique_ptr<worker>>& workers)
    : core_(core), filters_(filters), workers_(workers), acceptor_(workers.front()->context()) {}

result<std::string> listener::Open() {
  using failed = result<std::string>;
  const std::string& address = core_.settings.address;
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return failed::Failure(address + ": not of the form ip:port");
  error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  if (error) return failed::Failure(address + ": " + error.message());
  const int port = std::atoi(address.c_str() + colon + 1);
  const tcp::endpoint endpoint(ip, static_cast<std::uint16_t>(port));
  acceptor_.open(endpoint.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(endpoint, error);
  if (!error) acceptor_.listen(kBacklog, error);
  if (error) return failed::Failure(address + ": " + error.message());
  const tcp::endpoint bound = acceptor_.local_endpoint(error);
  return bound.address().to_string() + ":" + std::to_string(bound.port());
}

awaitable<void> listener::Run() {
  asio::steady_timer pause(acceptor_.get_executor());
  while (acceptor_.is_open()) {
    error_code error;
    worker& request_worker = NextWorker();
    tcp::socket socket(request_worker.context());
    co_await acceptor_.async_accept(socket, StoreError(error));
    if (!error) {
      Serve(request_worker, std::move(socket));
      continue;
    }
    if (error == asio::error::operation_aborted) co_return;
    pause.expires_after(kPauseAfterError);
    co_await pause.async_wait(StoreError(error));
  }
}

void listener::Close() {
  error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    worker& request_worker = NextWorker();
    tcp::socket socket(request_worker.context());
    acceptor_.accept(socket, error);
    if (!error) Serve(request_worker, std::move(socket));
  }
  acceptor_.close(error);
}

worker& listener::NextWorker() {
  next_ = (next_ + 1) % workers_.size();
  return *workers_[next_];
}

void listener::Serve(worker& request_worker, tcp::socket socket) {
  if (core_.connections.fetch_add(1) >= core_.settings.max_connections) {
    core_.connections.fetch_sub(1);
    core_.metrics.CountRefusal("too_many_connections");
    return;
  }
  error_code ignored;
  const int size = static_cast<int>(core_.settings.socket_buffer.get());
  socket.set_option(asio::socket_base::send_buffer_size(size), ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  const auto executor = socket.get_executor();
  const auto held = std::make_shared<tcp::socket>(std::move(socket));
  // The session registers itself with its worker, so it must be created on the worker's thread.
  asio::post(executor, [this, &request_worker, held] {
    auto served = std::make_shared<session>(core_, request_worker, filters_, std::move(*held));
    const auto session_executor = request_worker.context().get_executor();
    asio::co_spawn(session_executor, RunSession(std::move(served)), asio::detached);
  });
}

}  // namespace waxwingwing
