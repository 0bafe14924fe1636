#include "core/read_file.hpp"

#include <fstream>
#include <sstream>
#include <vector>

#include "core/error.hpp"

namespace dragonflywell {

std::string read_file(const std::string& path) {
    const std::ifstream file(path);
    if (!file) {
        throw invalid_input_error(std::vector<input_problem>{{.location = path, .message = "cannot be read"}});
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace dragonflywell
