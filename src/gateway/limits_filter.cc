#include "gateway/limits_filter.h"

namespace waxwingwing {
namespace {

refusal ToReadRefusal(const error_code& error, bool header_complete) {
  const execution_status truth =
      header_complete ? execution_status::kNotRun : execution_status::kUnknown;
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return {"header_too_large", "the request header exceeds the limit", execution_status::kNotRun};
  }
  if (error == http::error::body_limit) {
    return {"body_too_large", "the request body exceeds the limit", execution_status::kNotRun};
  }
  if (error == beast::error::timeout) {
    return {"request_timeout", "the request did not arrive in time", truth};
  }
  return {"malformed_request", error.message(), truth};
}

awaitable<void> SendContinue(request_context& context, error_code& error) {
  http::response<http::empty_body> response(http::status::continue_, 11);
  co_await http::async_write(context.caller->stream(), response, StoreError(error));
}

/// True for errors after which no response can be sent: the connection has ended.
bool IsGone(const error_code& error) {
  return error == http::error::end_of_stream || error == http::error::partial_message ||
         error == asio::error::connection_reset || error == asio::error::operation_aborted;
}

awaitable<error_code> ReadRequest(request_context& context) {
  const gateway_settings& settings = context.core.settings;
  caller_connection& caller = *context.caller;
  error_code error;
  caller.stream().expires_after(settings.header_timeout);
  co_await http::async_read_header(caller.stream(), caller.buffer(), context.parser,
                                   StoreError(error));
  if (error) co_return error;
  caller.stream().expires_after(settings.body_timeout);
  if (beast::iequals(context.Header("Expect"), "100-continue")) {
    co_await SendContinue(context, error);
    if (error) co_return error;
  }
  co_await http::async_read(caller.stream(), caller.buffer(), context.parser, StoreError(error));
  co_return error;
}

}  // namespace

awaitable<filter_step> limits_filter::Apply(request_context& context) const {
  const gateway_settings& settings = context.core.settings;
  context.parser.header_limit(static_cast<std::uint32_t>(settings.max_header.get()));
  context.parser.body_limit(settings.max_body.get());
  const error_code error = co_await ReadRequest(context);
  if (!error) {
    context.keep_alive = context.parser.get().keep_alive();
    co_return filter_step::kNext;
  }
  context.keep_alive = false;
  if (IsGone(error)) {
    context.answer_sent = true;
    co_return filter_step::kAnswered;
  }
  const bool header_complete = context.parser.is_header_done();
  if (header_complete)
    context.earlier_call_may_have_run = !context.Header("Idempotency-Key").empty();
  context.Refuse(ToReadRefusal(error, header_complete));
  co_return filter_step::kAnswered;
}

}  // namespace waxwingwing
