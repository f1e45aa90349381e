#include "waxwingwing/gateway/gateway_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cassert>
#include <chrono>
#include <future>
#include <thread>
#include <vector>

#include "gateway/listener.h"

namespace waxwingwing {
namespace {

constexpr milliseconds kIdlePollInterval{5};

}  // namespace

/// Owns the request threads and their shared state. Member order matters: the threads' contexts
/// hold the requests in progress and are destroyed before the objects that the requests use.
class gateway_server::implementation {
 public:
  implementation(const gateway_settings& settings, const gateway_dependencies& dependencies)
      : core_(settings, dependencies) {
    assert(settings.worker_threads > 0);
    for (std::uint32_t i = 0; i < settings.worker_threads; ++i) {
      workers_.push_back(std::make_unique<worker>(dependencies.snapshots));
    }
    listener_ = std::make_unique<listener>(core_, filters_, workers_);
  }
  implementation(const implementation&) = delete;
  implementation& operator=(const implementation&) = delete;

  ~implementation() {
    for (const auto& thread : workers_) thread->Stop();
    listener_.reset();
  }

  result<std::string> Start() {
    auto address = listener_->Open();
    if (!address) return address;
    asio::io_context& first = workers_.front()->context();
    asio::co_spawn(first, listener_->Run(), asio::detached);
    asio::co_spawn(first, DispatchPeriodically(), asio::detached);
    for (const auto& thread : workers_) thread->Start();
    return address;
  }

  void StopAccepting() {
    const auto closed = std::make_shared<std::promise<void>>();
    workers_.front()->Post([this, closed] {
      listener_->Close();
      closed->set_value();
    });
    closed->get_future().wait();
  }

  bool WaitIdle(time_point deadline) {
    while (core_.connections > 0) {
      if (std::chrono::steady_clock::now() >= deadline) return false;
      for (const auto& thread : workers_) {
        thread->Post([request_worker = thread.get()] { request_worker->CloseIdle(); });
      }
      std::this_thread::sleep_for(kIdlePollInterval);
    }
    return true;
  }

  gateway_core& core() { return core_; }

 private:
  awaitable<void> DispatchPeriodically() {
    asio::steady_timer timer(workers_.front()->context());
    while (true) {
      timer.expires_after(core_.settings.dispatch_interval);
      error_code error;
      co_await timer.async_wait(StoreError(error));
      if (error) co_return;
      core_.groups.DispatchAll(std::chrono::steady_clock::now());
    }
  }

  gateway_core core_;
  filter_chain filters_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::unique_ptr<listener> listener_;
};

gateway_server::gateway_server(const gateway_settings& settings,
                               const gateway_dependencies& dependencies)
    : implementation_(std::make_unique<implementation>(settings, dependencies)) {}

gateway_server::~gateway_server() = default;

result<std::string> gateway_server::Start() { return implementation_->Start(); }

void gateway_server::BeginShutdown() { implementation_->core().shutting_down = true; }

void gateway_server::StopAccepting() { implementation_->StopAccepting(); }

bool gateway_server::WaitIdle(time_point deadline) { return implementation_->WaitIdle(deadline); }

std::uint32_t gateway_server::RunningRequests() const { return implementation_->core().running; }

}  // namespace waxwingwing
