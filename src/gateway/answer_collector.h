#pragma once

#include <memory>
#include <string>

#include "gateway/answer_sink.h"
#include "gateway/request_context.h"

namespace waxwingwing {

/// Collects all tokens of an answer and sends them as one JSON document, for a caller that does not
/// stream.
class answer_collector final : public answer_sink {
 public:
  explicit answer_collector(request_context& context);
  ~answer_collector() override;

  awaitable<push_result> Push(const std::string& data,
                              const engine_stream::event_result& token) override;
  awaitable<bool> WaitUntilRead() override;
  awaitable<void> Complete() override;
  awaitable<void> Fail(const refusal& reason) override;

 private:
  request_context& context_;
  std::shared_ptr<buffer_account> account_;
  std::string content_;
  std::string finish_reason_ = "stop";
  std::uint64_t tokens_ = 0;
};

}  // namespace waxwingwing
