#include "stand_ins/proxy.h"

#include "stand_ins/flags.h"
#include "stand_ins/socket_owner.h"

namespace waxwingwing::stand_ins {

proxy::proxy(asio::io_context& context)
    : stand_in(context), acceptor_(context, ParseEndpoint(FLAGS_listen)) {
  asio::co_spawn(context, Accept(), asio::detached);
}

awaitable<void> proxy::HandleRequest(http_exchange& exchange) {
  const json body = {{"error", "no such path"}};
  co_await exchange.Answer(404, body);
}

awaitable<void> proxy::Accept() {
  for (;;) {
    error_code error;
    tcp::socket accepted =
        co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_await Sleep(milliseconds(10));
      continue;
    }
    const bool is_refused = refused_process_ != 0 && IsPeerOf(accepted, refused_process_);
    if (faults_.cut || is_refused) {
      // The peer sees a connection reset, as from a host without a listener.
      accepted.set_option(asio::socket_base::linger(true, 0), error);
      accepted.close(error);
      continue;
    }
    asio::co_spawn(context(), Forward(std::move(accepted)), asio::detached);
  }
}

awaitable<void> proxy::Forward(tcp::socket accepted) {
  auto connection = std::make_shared<proxy_connection>(std::move(accepted), faults_);
  connections_.insert(connection);
  if (hung_process_ != 0 && IsPeerOf(connection->accepted(), hung_process_)) connection->Silence();
  const std::size_t record = records().Add("connections", {{"at_us", MonotonicMicros()}});
  co_await connection->Run(ParseEndpoint(FLAGS_target));
  connections_.erase(connection);
  records().Update("connections", record,
                   {{"ended_at_us", MonotonicMicros()},
                    {"bytes_to_target", connection->bytes_to_target()},
                    {"bytes_from_target", connection->bytes_from_target()}});
}

void proxy::CloseAll() {
  for (const auto& connection : connections_) connection->Close();
}

void proxy::DisturbProcess() {
  for (const auto& connection : connections_) {
    if (refused_process_ != 0 && IsPeerOf(connection->accepted(), refused_process_)) {
      connection->Close();
    } else if (hung_process_ != 0 && IsPeerOf(connection->accepted(), hung_process_)) {
      connection->Silence();
    }
  }
}

bool proxy::SetFault(const std::string& name, const json& value) {
  if (name == "delay_ms") {
    faults_.delay = milliseconds(value.get<std::int64_t>());
  } else if (name == "cut") {
    faults_.cut = value.get<bool>();
    if (faults_.cut) CloseAll();
  } else if (name == "freeze_to_target") {
    faults_.freeze_to_target = value.get<bool>();
  } else if (name == "freeze_from_target") {
    faults_.freeze_from_target = value.get<bool>();
  } else if (name == "silence_open") {
    if (!value.get<bool>()) return true;
    for (const auto& connection : connections_) connection->Silence();
  } else if (name == "refuse_process") {
    refused_process_ = value.get<std::int64_t>();
    DisturbProcess();
  } else if (name == "hang_process") {
    hung_process_ = value.get<std::int64_t>();
    DisturbProcess();
  } else if (name == "drop_answers") {
    faults_.drop_answers = value.get<std::uint64_t>();
  } else {
    return false;
  }
  return true;
}

}  // namespace waxwingwing::stand_ins
