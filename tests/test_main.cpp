#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "core/log.hpp"

int main(int argc, char** argv) {
    // What the tested parts log is of interest only when a test is looked into.
    dragonflywell::set_log_options({.level = "critical"});
    return doctest::Context(argc, argv).run();
}
