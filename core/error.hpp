#pragma once

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace dragonflywell {

/// Base of every exception that dragonflywell throws.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/// One problem in a file that a person or a build pipeline has written.
struct input_problem {
    /// File and line, or the path of the entry within the document.
    std::string location;
    std::string message;

    friend bool operator==(const input_problem&, const input_problem&) = default;
};

/// A settings file or manifest that is invalid. Contains every problem found, not only the first.
class invalid_input_error : public error {
public:
    /// Precondition: `problems` is not empty.
    explicit invalid_input_error(std::vector<input_problem> problems)
        : error(join(problems)), m_problems(std::move(problems)) {}

    [[nodiscard]] const std::vector<input_problem>& problems() const noexcept { return m_problems; }

private:
    static std::string join(const std::vector<input_problem>& problems) {
        std::string text;
        for (const input_problem& problem : problems) {
            text += problem.location + ": " + problem.message + "\n";
        }
        return text;
    }

    std::vector<input_problem> m_problems;
};

/// A log record or message that does not have the expected format.
class malformed_message_error : public error {
public:
    using error::error;
};

} // namespace dragonflywell
