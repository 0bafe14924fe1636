#pragma once

#include <optional>
#include <string_view>

#include "coordination/append_log.hpp"

namespace dragonflywell::coordination {

/// Other daemons as a source of records that they read from the log. Thread safe.
class record_relay {
public:
    record_relay() = default;
    record_relay(const record_relay&) = delete;
    record_relay& operator=(const record_relay&) = delete;
    record_relay(record_relay&&) = delete;
    record_relay& operator=(record_relay&&) = delete;
    virtual ~record_relay() = default;

    /// Tells whether this daemon is one of those of its zone that read the log for the others.
    [[nodiscard]] virtual bool is_reader(std::string_view stream) const = 0;

    /// Returns the end of the stream as another daemon has read it lately, or nothing when all are silent.
    [[nodiscard]] virtual std::optional<log_offset> get_fresh_end(std::string_view stream) const = 0;

    /// Asks another daemon for records. Returns nothing when none can give them.
    [[nodiscard]] virtual std::optional<log_batch> read(std::string_view stream, log_offset from, std::size_t most) = 0;

    /// Takes records that were read, to pass them on. `is_from_log` is false for those of another daemon.
    virtual void on_read(std::string_view stream, const log_batch& batch, bool is_from_log) = 0;
};

/// A log that is read through other daemons where they can answer, and directly where not.
///
/// The caller folds what it reads and so reaches its own verdicts; a relayed batch only has to be without a gap.
/// Not thread safe.
class fan_out_log final : public append_log {
public:
    /// Precondition: both outlive the object.
    fan_out_log(append_log& own, record_relay& relay) : m_own(&own), m_relay(&relay) {}

    /// Appends directly.
    log_offset append(std::string_view stream, std::span<const std::string> records) override;

    log_batch read(std::string_view stream, log_offset from, std::size_t most) override;

    /// Returns how many reads reached the log itself.
    [[nodiscard]] std::uint64_t get_direct_reads() const noexcept { return m_direct_reads; }

private:
    [[nodiscard]] std::optional<log_batch> read_relayed(std::string_view stream, log_offset from, std::size_t most);

    append_log* m_own;
    record_relay* m_relay;
    std::uint64_t m_direct_reads{0};
};

} // namespace dragonflywell::coordination
