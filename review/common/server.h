#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "net.h"

namespace review {

/// What a stand-in server says of itself in the store.
struct registration {
  std::string id;
  std::string service;
  std::string store;
  /// Where it listens; set when it begins to serve.
  std::string address;
  /// Adds what this kind of server states, besides its address and state.
  std::function<void(nlohmann::json&)> add_state;
};

/// Registers a server of the platform once.
void Register(const registration& server);

/// Prints the address, registers every 300 ms and calls `serve` for each connection, in a thread of
/// its own. Never returns.
void ServeForever(registration& server, const std::function<void(connection)>& serve);

/// Serialises a response with a length.
std::string WriteAnswer(const std::string& status, const std::string& headers,
                        const std::string& body);

/// The subcommands of the stand-in program.
int RunDesk(const std::vector<std::string>& arguments);
int RunModelRunner(const std::vector<std::string>& arguments);

}  // namespace review
