#include "gateway/filter_chain.h"

#include "gateway/admission_filter.h"
#include "gateway/idempotency_filter.h"
#include "gateway/identify_filter.h"
#include "gateway/relay_filter.h"
#include "gateway/route_filter.h"

namespace waxwingwing {

filter_chain::filter_chain() {
  filters_.push_back(std::make_unique<identify_filter>());
  filters_.push_back(std::make_unique<idempotency_filter>());
  filters_.push_back(std::make_unique<admission_filter>());
  filters_.push_back(std::make_unique<route_filter>());
  filters_.push_back(std::make_unique<relay_filter>());
}

awaitable<void> filter_chain::Apply(request_context& context) const {
  for (const auto& filter : filters_) {
    const filter_step step = co_await filter->Apply(context);
    if (step == filter_step::kAnswered) co_return;
  }
}

}  // namespace waxwingwing
