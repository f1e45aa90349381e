#include "stand_ins/weight_store.h"

#include <algorithm>

#include "stand_ins/flags.h"
#include "waxwingwing/core/scope_guard.h"

namespace waxwingwing::stand_ins {
namespace {

constexpr std::string_view kWeightsPrefix = "/v1/weights/";
constexpr std::string_view kRangePrefix = "bytes=0-";
// A chunk takes 5 ms at the full rate, so that concurrent readers progress together.
constexpr std::uint64_t kChunksPerSecond = 200;
constexpr std::uint64_t kMaxChunkBytes = 1U << 20U;

std::uint64_t WantedBytes(const std::string& range) {
  if (!range.starts_with(kRangePrefix)) return FLAGS_weight_bytes;
  return std::stoull(range.substr(kRangePrefix.size())) + 1;
}

}  // namespace

weight_store::weight_store(asio::io_context& context)
    : stand_in(context), bytes_per_second_(std::max<std::uint64_t>(1, FLAGS_bytes_per_second)) {}

awaitable<void> weight_store::HandleRequest(http_exchange& exchange) {
  if (exchange.path().starts_with(kWeightsPrefix)) {
    co_await Deliver(exchange);
    co_return;
  }
  if (exchange.path() == "/v1/status") {
    const json status = {{"bytes_per_second", bytes_per_second_}, {"active", active_readers_}};
    co_await exchange.Answer(200, status);
    co_return;
  }
  const json body = {{"error", "no such path"}};
  co_await exchange.Answer(404, body);
}

awaitable<void> weight_store::Deliver(http_exchange& exchange) {
  ++active_readers_;
  const scope_guard leave([&] { --active_readers_; });
  const std::uint64_t wanted = WantedBytes(exchange.Header("Range"));
  const std::size_t record = records().Add("reads", {{"at_us", MonotonicMicros()},
                                                     {"model", exchange.path().substr(12)},
                                                     {"rank", exchange.QueryNumber("rank", 0)},
                                                     {"bytes", wanted}});
  header_list headers;
  bool open = co_await exchange.BeginChunks("application/octet-stream", std::move(headers));
  std::uint64_t sent = 0;
  while (open && sent < wanted) {
    const std::uint64_t size = std::min(ChunkSize(), wanted - sent);
    co_await WaitForTurn(size);
    open = co_await exchange.WriteChunk(std::string(size, '\0'));
    sent += size;
  }
  if (open) open = co_await exchange.EndChunks();
  records().Update("reads", record, {{"ended_at_us", MonotonicMicros()}, {"complete", open}});
}

awaitable<void> weight_store::WaitForTurn(std::uint64_t size) {
  const std::chrono::duration<double> needed(static_cast<double>(size) /
                                             static_cast<double>(bytes_per_second_));
  const time_point now = std::chrono::steady_clock::now();
  next_turn_ = std::max(now, next_turn_) + std::chrono::duration_cast<duration>(needed);
  co_await Sleep(next_turn_ - now);
}

std::uint64_t weight_store::ChunkSize() const {
  return std::clamp<std::uint64_t>(bytes_per_second_ / kChunksPerSecond, 1, kMaxChunkBytes);
}

bool weight_store::SetFault(const std::string& name, const json& value) {
  if (name != "bytes_per_second") return stand_in::SetFault(name, value);
  bytes_per_second_ = std::max<std::uint64_t>(1, value.get<std::uint64_t>());
  return true;
}

}  // namespace waxwingwing::stand_ins
