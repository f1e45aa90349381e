// Runs a program that the kernel kills when the tests' process ends, however it ends.
// Usage: integration_child_launcher PARENT_PID PROGRAM [ARGUMENT...]
#include <sys/prctl.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

int main(int argc, char** argv) {
  if (argc < 3) return 127;
  const long parent = std::strtol(argv[1], nullptr, 10);
  if (::prctl(PR_SET_PDEATHSIG, SIGKILL) != 0) return 127;
  // The parent may have ended before the call above.
  if (::getppid() != parent) return 127;
  ::execv(argv[2], argv + 2);
  std::perror(argv[2]);
  return 127;
}
