#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/record.hpp"

namespace dragonflywell::coordination {

/// State of a folded stream as of one offset.
///
/// It is a pure function of the stream's records below that offset. Whoever writes it, writes the same, so it needs no
/// lease and no agreement.
struct fold_snapshot {
    std::string stream;
    /// Offset of the first record that the state does not contain.
    log_offset end_offset{};
    /// JSON text.
    std::string state;

    friend bool operator==(const fold_snapshot&, const fold_snapshot&) = default;
};

/// Where a process without a log gets a snapshot, such as a peer.
class snapshot_source {
public:
    snapshot_source() = default;
    snapshot_source(const snapshot_source&) = delete;
    snapshot_source& operator=(const snapshot_source&) = delete;
    snapshot_source(snapshot_source&&) = delete;
    snapshot_source& operator=(snapshot_source&&) = delete;
    virtual ~snapshot_source() = default;

    /// Returns a copy of the stream's state, or nothing when none can be had now. Not thread safe.
    virtual std::optional<fold_snapshot> get_snapshot(std::string_view stream) = 0;
};

/// Version of the form of snapshots. Readers pass over those of another version, so old and new processes can run
/// together.
inline constexpr std::uint64_t snapshot_format = 1;

/// Returns the stream that holds the snapshots of `stream`. It is one of its own, so that nobody tails it.
[[nodiscard]] std::string get_snapshot_stream(std::string_view stream);

/// Largest part of a snapshot that goes into one record, in bytes before encoding.
inline constexpr std::size_t snapshot_chunk_bytes = 64 * 1024;

/// Returns the records that carry a snapshot, in order. Thread safe.
[[nodiscard]] std::vector<std::string> encode_snapshot(const fold_snapshot& snapshot, const writer_id& writer);

/// Appends a snapshot. Throws `log_unavailable_error`; writing it again does no harm, even if the first took effect.
void write_snapshot(append_log& log, const fold_snapshot& snapshot, const writer_id& writer);

/// Returns the newest complete and undamaged snapshot that the log keeps and that covers at least up to `oldest`.
/// Throws `log_unavailable_error`.
[[nodiscard]] std::optional<fold_snapshot> read_newest_snapshot(append_log& log, std::string_view stream,
                                                                log_offset oldest);

} // namespace dragonflywell::coordination
