#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.hpp"

namespace dragonflywell::coordination {

/// Position of a record in its stream. The first record of a stream has offset 0.
using log_offset = std::uint64_t;

/// One record as the log returned it.
struct log_entry {
    log_offset offset{};
    std::string data;
};

/// Answer to one read.
struct log_batch {
    std::vector<log_entry> entries;
    /// Offset of the oldest record that the log still keeps. Greater than the offset asked for after retention cut.
    log_offset oldest{};
    /// Offset that the next appended record would have had when the read was answered.
    log_offset end{};
};

/// The log did not answer, or answered too late. An append may have taken effect all the same.
class log_unavailable_error : public error {
public:
    using error::error;
};

/// The platform's append-only log.
///
/// Thread safety: an implementation may be used by one thread at a time unless it says otherwise.
class append_log {
public:
    append_log() = default;
    append_log(const append_log&) = delete;
    append_log& operator=(const append_log&) = delete;
    append_log(append_log&&) = delete;
    append_log& operator=(append_log&&) = delete;
    virtual ~append_log() = default;

    /// Appends the records in order and without gap; returns the offset of the first.
    /// Precondition: `records` is not empty. Throws `log_unavailable_error`; the effect is then unknown.
    virtual log_offset append(std::string_view stream, std::span<const std::string> records) = 0;

    /// Returns up to `most` records from offset `from` on, or from the oldest kept one when that is newer.
    /// Throws `log_unavailable_error`.
    virtual log_batch read(std::string_view stream, log_offset from, std::size_t most) = 0;
};

} // namespace dragonflywell::coordination
