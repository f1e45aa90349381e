#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <thread>

#include "gateway/caller_connection.h"
#include "gateway/mailbox.h"
#include "waxwingwing/core/random_source.h"
#include "waxwingwing/core/snapshot_cell.h"
#include "waxwingwing/routing/routing_snapshot.h"

namespace waxwingwing {

/// One request thread with its own io_context. All members except `Start`, `Stop` and `Post` must
/// be used on that thread only.
class worker {
 public:
  explicit worker(const snapshot_cell<routing_snapshot>& snapshots);
  worker(const worker&) = delete;
  worker& operator=(const worker&) = delete;
  ~worker();

  void Start();
  /// Stops and joins the thread; unfinished coroutines are destroyed with the worker.
  void Stop();
  void Post(std::function<void()> function) { mailbox_->Post(std::move(function)); }

  asio::io_context& context() { return context_; }
  const std::shared_ptr<mailbox>& worker_mailbox() const { return mailbox_; }
  random_source& random() { return random_; }
  std::shared_ptr<const routing_snapshot> Snapshot() { return snapshots_.Get(); }

  void Add(caller_connection& connection) { connections_.insert(&connection); }
  void Remove(caller_connection& connection) { connections_.erase(&connection); }
  /// Closes the connections on which no request is in progress.
  void CloseIdle();

 private:
  random_source random_;
  snapshot_reader<routing_snapshot> snapshots_;
  std::set<caller_connection*> connections_;
  asio::io_context context_{1};
  std::shared_ptr<mailbox> mailbox_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace waxwingwing
