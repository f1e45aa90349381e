#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <csignal>

int main(int argc, char** argv) {
  // A peer that closes its connection must fail a write, not end the tests.
  std::signal(SIGPIPE, SIG_IGN);
  return Catch::Session().run(argc, argv);
}
