#include <iostream>

#include "ctl/command_line.hpp"

int main(int argc, char** argv) {
    return dragonflywell::ctl::run_command_line({argv + 1, argv + argc}, std::cout, std::cerr);
}
