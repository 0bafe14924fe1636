#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/record.hpp"

namespace dragonflywell::coordination {

/// The state of a folded stream at one offset.
///
/// It is a pure function of the stream's records below that offset. All processes that write it write the same content,
/// so writing it needs neither a lease nor agreement.
struct fold_snapshot {
    std::string stream;
    /// Offset of the first record that the state does not include.
    log_offset end_offset{};
    /// The state as a JSON text.
    std::string state;

    friend bool operator==(const fold_snapshot&, const fold_snapshot&) = default;
};

/// A source of snapshots other than the log, such as a peer.
class snapshot_source {
public:
    snapshot_source() = default;
    snapshot_source(const snapshot_source&) = delete;
    snapshot_source& operator=(const snapshot_source&) = delete;
    snapshot_source(snapshot_source&&) = delete;
    snapshot_source& operator=(snapshot_source&&) = delete;
    virtual ~snapshot_source() = default;

    /// Returns a copy of the stream's state, or nothing if none is available now. Not thread safe.
    virtual std::optional<fold_snapshot> get_snapshot(std::string_view stream) = 0;
};

/// Version of the snapshot format. Readers skip snapshots of other versions, so that old and new processes can run
/// together.
inline constexpr std::uint64_t snapshot_format = 1;

/// Returns the name of the stream that holds the snapshots of `stream`. Snapshots have a stream of their own, so that
/// readers of `stream` do not have to read them.
[[nodiscard]] std::string get_snapshot_stream(std::string_view stream);

/// Maximum size of the part of a snapshot that one record carries, in bytes before encoding.
inline constexpr std::size_t snapshot_chunk_bytes = 64 * 1024;

/// Returns the records that carry a snapshot, in order. Thread safe.
[[nodiscard]] std::vector<std::string> encode_snapshot(const fold_snapshot& snapshot, const writer_id& writer);

/// Appends a snapshot. Throws `log_unavailable_error`; writing the snapshot again does no harm, even if the first
/// attempt took effect.
void write_snapshot(append_log& log, const fold_snapshot& snapshot, const writer_id& writer);

/// Returns the newest complete and valid snapshot in the log that includes all records below `oldest`, or nothing.
/// Throws `log_unavailable_error`.
[[nodiscard]] std::optional<fold_snapshot> read_newest_snapshot(append_log& log, std::string_view stream,
                                                                log_offset oldest);

} // namespace dragonflywell::coordination
