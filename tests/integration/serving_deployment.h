#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "tests/integration/deployment.h"
#include "tests/integration/event_stream.h"

namespace waxwingwing::integration {

/// Longest time from start to a whole deployment that serves: lease, loads and reports.
inline constexpr milliseconds kStartBound{30000};
/// The target for a configuration change to be in force everywhere.
inline constexpr milliseconds kInForceBound{19000};
/// "A few seconds", for new work to stop.
inline constexpr milliseconds kFewSeconds{5000};

/// Three failure domains with engines, services and entry VMs, and one model group `orders`.
deployment_settings ThreeDomains(std::size_t engines = 4, std::size_t entry_vms = 3);

/// The base release note of the deployment with a model group of replicas of two VMs.
nlohmann::json NoteWithModelGroup(const deployment& running, const std::string& note_id,
                                  const nlohmann::json& overrides = {});

/// Applies the note and waits until `replicas` replicas serve as seen by every entry VM, and, when
/// `warm`, have reached their full request limit.
void StartServing(deployment& running, const nlohmann::json& note, std::size_t replicas,
                  bool warm = true);

/// The status of an entry VM as JSON.
nlohmann::json StatusOf(deployment& running, const std::string& entry_vm);
/// Replicas that the entry VM sees as serving.
std::size_t ServingReplicas(deployment& running, const std::string& entry_vm);

/// Body of a chat completion with `text` as its last message.
nlohmann::json ChatBody(const std::string& text, std::uint64_t max_tokens, bool stream = true);
header_list CallerHeaders(const std::string& organisation = "acme");
/// Sends a streamed chat completion and reads the whole answer.
stream_answer Chat(deployment& running, const std::string& entry_vm, const std::string& text,
                   std::uint64_t max_tokens);
/// The tokens that an engine generates for the text.
std::vector<std::string> ExpectedTokens(const std::string& text, std::uint64_t count);
/// Whether the answer is whole: every token, in order, and the end mark.
bool IsWhole(const stream_answer& answer, const std::string& text, std::uint64_t count);

/// Calls the plain service with an idempotency key.
result<http_answer> CallDesk(deployment& running, const std::string& entry_vm,
                             const std::string& key, const std::string& body);

}  // namespace waxwingwing::integration
