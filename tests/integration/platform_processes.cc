#include "tests/integration/platform_processes.h"

#include <stdexcept>

namespace waxwingwing::integration {
namespace {

// A proxy serves its test endpoints at a second address.
http_client TestEndpoints(child_process& stand_in) {
  const nlohmann::json& line = stand_in.ListeningLine();
  return http_client(line.value("control_address", line.at("address").get<std::string>()));
}

}  // namespace

platform_processes::child platform_processes::StartStandIn(const std::string& kind,
                                                           const std::string& name,
                                                           const std::vector<std::string>& flags) {
  std::vector<std::string> arguments = {kind, "--listen=127.0.0.1:0",
                                        "--records_file=" + RecordsFile(name).string()};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  return std::make_unique<child_process>(name, STAND_INS_PROGRAM, arguments, folder());
}

platform_processes::child platform_processes::StartEntryVm(const std::string& name,
                                                           const std::vector<std::string>& flags) {
  std::vector<std::string> arguments = {"serve"};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  return std::make_unique<child_process>(name, WAXWINGWING_PROGRAM, arguments, folder());
}

std::filesystem::path platform_processes::RecordsFile(const std::string& name) const {
  return folder() / (name + ".records");
}

void SetFaults(child_process& stand_in, const nlohmann::json& faults) {
  const http_answer answer = TestEndpoints(stand_in).Post("/v1/test/faults", faults);
  if (answer.status != 200) throw std::runtime_error(stand_in.name() + ": " + answer.body);
}

nlohmann::json GetRecords(child_process& stand_in) {
  return TestEndpoints(stand_in).Get("/v1/test/records").Json();
}

}  // namespace waxwingwing::integration
