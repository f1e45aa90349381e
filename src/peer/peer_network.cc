#include "waxwingwing/peer/peer_network.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <map>
#include <utility>

#include "peer/peer_connection.h"
#include "peer/peer_server.h"

namespace waxwingwing {
namespace {

hello_message HelloOf(const peer_settings& settings) {
  return {settings.cluster, settings.own_vm, settings.own_failure_domain, settings.own_incarnation,
          kFrameVersion};
}

}  // namespace

class peer_network::implementation : public std::enable_shared_from_this<implementation> {
 public:
  implementation(boost::asio::io_context& context, const peer_settings& settings,
                 random_source random, metrics_registry& metrics, message_handler on_message)
      : context_(context),
        random_(random),
        on_message_(std::move(on_message)),
        shared_(std::make_shared<peer_session::shared_state>(peer_session::shared_state{
            settings, HelloOf(settings), peer_counters(metrics),
            std::make_shared<ingress_budget>(settings.unfinished_frames)})) {}

  void Start() { server_ = std::make_shared<peer_server>(context_, shared_, Handler()); }

  result<std::string> Listen(const std::string& address) { return server_->Listen(address); }

  void SetPeers(const std::vector<peer_address>& peers) {
    std::map<vm_id, peer_address> wanted;
    for (const peer_address& peer : peers) wanted.emplace(peer.vm, peer);
    wanted.erase(shared_->own_hello.vm);
    std::erase_if(connections_, [&](const auto& item) {
      const auto found = wanted.find(item.first);
      const bool kept = found != wanted.end() && found->second == item.second->address();
      if (!kept) item.second->Stop();
      return !kept;
    });
    for (const auto& [vm, peer] : wanted) {
      if (!connections_.contains(vm) && !closed_) Connect(peer);
    }
  }

  peer_session* SessionOf(const vm_id& vm) const {
    const auto found = connections_.find(vm);
    peer_session* outgoing = found == connections_.end() ? nullptr : found->second->session();
    return outgoing != nullptr ? outgoing : server_->SessionOf(vm);
  }

  bool Send(const vm_id& vm, const peer_message& message) {
    peer_session* session = SessionOf(vm);
    if (session != nullptr) return session->Send(message);
    shared_->counters.CountUnsent("not_connected");
    return false;
  }

  void Broadcast(const std::vector<vm_id>& vms, const peer_message& message) {
    auto encoded = EncodeFrame(message);
    if (!encoded) return shared_->counters.CountUnsent("too_large");
    const auto frame = std::make_shared<const std::string>(*std::move(encoded));
    for (const vm_id& vm : vms) {
      peer_session* session = SessionOf(vm);
      if (session == nullptr) {
        shared_->counters.CountUnsent("not_connected");
      } else {
        session->SendFrame(frame, send_queue::frame_kind::kOther);
      }
    }
  }

  void Close() {
    closed_ = true;
    SetPeers({});
    server_->Stop();
  }

 private:
  void Connect(const peer_address& peer) {
    auto connection =
        std::make_shared<peer_connection>(context_, peer, shared_, random_.Next(), Handler());
    connection->Start();
    connections_.emplace(peer.vm, std::move(connection));
  }

  /// The handler keeps this object alive while it runs, since it may destroy the network.
  message_handler Handler() {
    return [weak = weak_from_this()](const vm_id& vm, peer_message message) {
      const auto self = weak.lock();
      if (self && !self->closed_) self->on_message_(vm, std::move(message));
    };
  }

  boost::asio::io_context& context_;
  random_source random_;
  message_handler on_message_;
  std::shared_ptr<peer_session::shared_state> shared_;
  std::shared_ptr<peer_server> server_;
  std::map<vm_id, std::shared_ptr<peer_connection>> connections_;
  bool closed_ = false;
};

peer_network::peer_network(boost::asio::io_context& context, const peer_settings& settings,
                           random_source random, metrics_registry& metrics,
                           message_handler on_message)
    : implementation_(std::make_shared<implementation>(context, settings, random, metrics,
                                                       std::move(on_message))) {
  implementation_->Start();
}

peer_network::~peer_network() { Close(); }

result<std::string> peer_network::Listen(const std::string& address) {
  return implementation_->Listen(address);
}

void peer_network::SetPeers(const std::vector<peer_address>& peers) {
  implementation_->SetPeers(peers);
}

bool peer_network::Send(const vm_id& vm, const peer_message& message) {
  return implementation_->Send(vm, message);
}

void peer_network::Broadcast(const std::vector<vm_id>& vms, const peer_message& message) {
  implementation_->Broadcast(vms, message);
}

bool peer_network::IsConnected(const vm_id& vm) const {
  return implementation_->SessionOf(vm) != nullptr;
}

void peer_network::Close() { implementation_->Close(); }

}  // namespace waxwingwing
