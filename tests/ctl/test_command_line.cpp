#include <doctest/doctest.h>

#include <sstream>

#include "ctl/command.hpp"
#include "ctl/command_line.hpp"

using namespace dragonflywell::ctl;

TEST_CASE("wrong usage and invalid input return their own exit code") {
    std::ostringstream out;
    std::ostringstream errors;
    CHECK(run_command_line({}, out, errors) == exit_usage);
    CHECK(run_command_line({"manifest", "burn"}, out, errors) == exit_usage);
    CHECK(run_command_line({"--none"}, out, errors) == exit_usage);
    CHECK(run_command_line({"usage", "--log", "localhost"}, out, errors) == exit_usage);
    CHECK(run_command_line({"manifest", "check", "no-such-file"}, out, errors) == exit_usage);
    CHECK(run_command_line({"--help"}, out, errors) == exit_ok);
    CHECK(out.str().find("manifest publish") != std::string::npos);
}
