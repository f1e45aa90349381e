#include "tests/integration/temporary_folder.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <stdexcept>
#include <string>
#include <system_error>

namespace waxwingwing::integration {

temporary_folder::temporary_folder() : exceptions_at_start_(std::uncaught_exceptions()) {
  std::string name = (std::filesystem::temp_directory_path() / "waxwingwing-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("mkdtemp failed: " + name);
  path_ = name;
}

temporary_folder::~temporary_folder() {
  if (std::uncaught_exceptions() > exceptions_at_start_) {
    std::cerr << "logs are in " << path_.string() << '\n';
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace waxwingwing::integration
