#include "waxwingwing/membership/peer_table.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "waxwingwing/membership/rendezvous.h"

namespace waxwingwing {
namespace {

const time_point kNow = time_point(std::chrono::hours(1));

vm_entry Entry(const std::string& id, const std::string& domain) {
  vm_entry entry;
  entry.id = vm_id(id);
  entry.role = vm_role::kEntry;
  entry.failure_domain = failure_domain_id(domain);
  entry.address = id + ":1";
  return entry;
}

std::vector<vm_entry> NineEntries() {
  std::vector<vm_entry> entries;
  for (const char* domain : {"abeokuta", "ifo", "sagamu"}) {
    for (int number = 0; number < 3; ++number) {
      entries.push_back(Entry(domain + std::to_string(number), domain));
    }
  }
  return entries;
}

peer_status Status(const vm_entry& entry, std::uint64_t run = 1) {
  return {entry.id, entry.failure_domain, incarnation(run), log_offset(5), false};
}

peer_table TableWithLivePeers(const std::string& own, const std::string& domain) {
  peer_table table{vm_id(own), failure_domain_id(domain)};
  table.UpdateFromVmList(NineEntries());
  for (const vm_entry& entry : NineEntries()) table.Observe(Status(entry), milliseconds(0), kNow);
  return table;
}

TEST_CASE("a peer is live for two seconds after its last status", "[membership]") {
  const peer_table table = TableWithLivePeers("ifo0", "ifo");
  REQUIRE(table.LivePeers(kNow).size() == 8);
  REQUIRE(table.LivePeers(kNow + kPeerLifetime).size() == 8);
  REQUIRE(table.LivePeers(kNow + kPeerLifetime + milliseconds(1)).empty());
  REQUIRE(table.IsLive(vm_id("ifo0"), kNow + std::chrono::hours(1)));
}

TEST_CASE("a status from before a restart is ignored", "[membership]") {
  peer_table table = TableWithLivePeers("ifo0", "ifo");
  const vm_entry peer = Entry("ifo1", "ifo");
  REQUIRE(table.Observe(Status(peer, 2), milliseconds(0), kNow));
  REQUIRE_FALSE(table.Observe(Status(peer, 1), milliseconds(0), kNow));
  REQUIRE(table.Find(vm_id("ifo1"))->incarnation == incarnation(2));
}

TEST_CASE("an older status neither lowers the offset nor ends a drain", "[membership]") {
  peer_table table = TableWithLivePeers("ifo0", "ifo");
  peer_status status = Status(Entry("ifo1", "ifo"));
  status.control_offset = log_offset(9);
  status.draining = true;
  table.Observe(status, milliseconds(0), kNow);
  table.Observe(Status(Entry("ifo1", "ifo")), milliseconds(700), kNow);
  const peer_table::peer* held = table.Find(vm_id("ifo1"));
  REQUIRE(held->control_offset == log_offset(9));
  REQUIRE(held->draining);
  REQUIRE(*held->last_status_at == kNow);
}

TEST_CASE("peers that are not on the VM list are not accepted", "[membership]") {
  peer_table table = TableWithLivePeers("ifo0", "ifo");
  REQUIRE_FALSE(table.Observe(Status(Entry("stray", "ifo")), milliseconds(0), kNow));
  REQUIRE_FALSE(table.Observe(Status(Entry("ifo0", "ifo")), milliseconds(0), kNow));
  table.UpdateFromVmList({Entry("ifo0", "ifo")});
  REQUIRE(table.peers().empty());
}

TEST_CASE("all members of a domain select the same poller and share the work", "[membership]") {
  const peer_table first = TableWithLivePeers("ifo0", "ifo");
  const peer_table second = TableWithLivePeers("ifo1", "ifo");
  std::map<vm_id, int> shares;
  for (int number = 0; number < 300; ++number) {
    const vm_id backend("e" + std::to_string(number));
    const vm_id poller = SelectPoller(backend, first.LiveBackendPollers(kNow));
    REQUIRE(poller == SelectPoller(backend, second.LiveBackendPollers(kNow)));
    ++shares[poller];
  }
  REQUIRE(shares.size() == 3);
  for (const auto& [poller, share] : shares) REQUIRE(share > 50);
  REQUIRE(SelectPoller(vm_id("e1"), {}).empty());
}

TEST_CASE("a draining node polls only when no other node can", "[membership]") {
  peer_table table = TableWithLivePeers("ifo0", "ifo");
  table.SetOwnDraining(true);
  REQUIRE(table.LiveBackendPollers(kNow) == std::vector<vm_id>{vm_id("ifo1"), vm_id("ifo2")});
  const time_point later = kNow + std::chrono::seconds(5);
  REQUIRE(table.LiveBackendPollers(later) == std::vector<vm_id>{vm_id("ifo0")});
}

TEST_CASE("status goes to two peers of each other domain", "[membership]") {
  const peer_table table = TableWithLivePeers("ifo0", "ifo");
  const std::vector<vm_id> recipients = table.SelectStatusRecipients(kNow);
  REQUIRE(recipients.size() == 4);
  for (const char* domain : {"abeokuta", "sagamu"}) {
    REQUIRE(std::count_if(recipients.begin(), recipients.end(), [&](const vm_id& recipient) {
              return recipient.str().starts_with(domain);
            }) == 2);
  }
}

TEST_CASE("status goes to listed peers of a domain of which none is live", "[membership]") {
  // Guards against two domains that each wait for the other's first status after a start.
  const peer_table table = TableWithLivePeers("ifo0", "ifo");
  REQUIRE(table.SelectStatusRecipients(kNow + std::chrono::seconds(10)).size() == 4);
}

TEST_CASE("status of another domain is forwarded once", "[membership]") {
  // Guards against status messages that are forwarded among peers without end.
  const peer_table table = TableWithLivePeers("ifo0", "ifo");
  const vm_id origin("sagamu0");
  REQUIRE(table.SelectForwardTargets(origin, origin, kNow) ==
          std::vector<vm_id>{vm_id("ifo1"), vm_id("ifo2")});
  REQUIRE(table.SelectForwardTargets(origin, vm_id("ifo1"), kNow).empty());
  REQUIRE(table.SelectForwardTargets(vm_id("ifo1"), vm_id("ifo1"), kNow).empty());
}

}  // namespace
}  // namespace waxwingwing
