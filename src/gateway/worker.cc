#include "gateway/worker.h"

namespace waxwingwing {

worker::worker(const snapshot_cell<routing_snapshot>& snapshots)
    : random_(random_source::FromDevice()),
      snapshots_(snapshots),
      mailbox_(std::make_shared<mailbox>(context_)),
      work_(context_.get_executor()) {}

worker::~worker() { Stop(); }

void worker::Start() {
  thread_ = std::thread([this] { context_.run(); });
}

void worker::Stop() {
  mailbox_->Close();
  work_.reset();
  context_.stop();
  if (thread_.joinable()) thread_.join();
}

void worker::CloseIdle() {
  const auto connections = connections_;
  for (caller_connection* connection : connections) connection->CloseIfIdle();
}

}  // namespace waxwingwing
