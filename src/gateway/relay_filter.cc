#include "gateway/relay_filter.h"

#include "gateway/answer_collector.h"
#include "gateway/caller_stream.h"
#include "gateway/engine_relay.h"
#include "gateway/service_relay.h"

namespace waxwingwing {

awaitable<filter_step> relay_filter::Apply(request_context& context) const {
  context.core.retries.RecordRequest();
  if (context.service != nullptr) {
    service_relay relay(context);
    co_await relay.Run();
    co_return filter_step::kAnswered;
  }
  std::unique_ptr<answer_sink> sink;
  if (context.stream) {
    sink = std::make_unique<caller_stream>(context);
  } else {
    sink = std::make_unique<answer_collector>(context);
  }
  engine_relay relay(context, *sink);
  co_await relay.Run();
  co_return filter_step::kAnswered;
}

}  // namespace waxwingwing
