#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "stand_ins/duty_interface.h"
#include "stand_ins/engine.h"
#include "stand_ins/flags.h"
#include "stand_ins/http_server.h"
#include "stand_ins/model_runner.h"
#include "stand_ins/plain_service.h"
#include "stand_ins/platform_log.h"
#include "stand_ins/platform_store.h"
#include "stand_ins/proxy.h"
#include "stand_ins/vm_list.h"
#include "stand_ins/weight_store.h"

namespace waxwingwing::stand_ins {
namespace {

using factory = std::unique_ptr<stand_in> (*)(asio::io_context&);

template <typename kind>
std::unique_ptr<stand_in> Create(asio::io_context& context) {
  return std::make_unique<kind>(context);
}

const std::map<std::string, factory>& Factories() {
  static const std::map<std::string, factory> kFactories = {
      {"log", Create<platform_log>},
      {"vm_list", Create<vm_list>},
      {"weight_store", Create<weight_store>},
      {"engine", Create<engine>},
      {"plain_service", Create<plain_service>},
      {"store", Create<platform_store>},
      {"duties", Create<duty_interface>},
      {"model_runner", Create<model_runner>},
      {"proxy", Create<proxy>}};
  return kFactories;
}

int Run(const std::string& kind) {
  const auto found = Factories().find(kind);
  if (found == Factories().end()) {
    std::cerr << "unknown kind of stand-in: " << kind << '\n';
    return 2;
  }
  asio::io_context& context = EventLoop();
  const std::unique_ptr<stand_in> served = found->second(context);
  // The proxy forwards the connections of its own listener, so its test endpoints need a second
  // one.
  const auto* forwarding = dynamic_cast<const proxy*>(served.get());
  const std::string listen = forwarding == nullptr ? FLAGS_listen : "127.0.0.1:0";
  const http_server server(context, listen,
                           [&](http_exchange& exchange) { return served->Handle(exchange); });
  nlohmann::json line = {{"event", "listening"}, {"address", server.address()}};
  if (forwarding != nullptr) {
    line["control_address"] = server.address();
    line["address"] = forwarding->address();
  }
  std::cout << line.dump() << std::endl;
  auto* runner = dynamic_cast<model_runner*>(served.get());
  if (runner != nullptr) runner->Start(server.address());
  context.run();
  return 0;
}

}  // namespace
}  // namespace waxwingwing::stand_ins

int main(int argc, char** argv) {
  gflags::SetUsageMessage("waxwingwing_stand_ins KIND [flags]; kinds: see docs/design.md, 7.3");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (argc != 2) {
    std::cerr << gflags::ProgramUsage() << '\n';
    return 2;
  }
  try {
    return waxwingwing::stand_ins::Run(argv[1]);
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return 1;
  }
}
