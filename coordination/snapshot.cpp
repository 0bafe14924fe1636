#include "coordination/snapshot.hpp"

#include <algorithm>
#include <map>
#include <span>
#include <utility>

#include "core/hash.hpp"
#include "core/json.hpp"

namespace dragonflywell::coordination {

namespace {

constexpr std::string_view snapshot_chunk_type = "snapshot.chunk";
constexpr std::size_t records_per_read = 100;
constexpr unsigned utf8_continuation_mask = 0xC0;
constexpr unsigned utf8_continuation = 0x80;

/// Identifies the chunks of one snapshot. Two writers may write a snapshot of the same offset at the same time.
struct chunk_group {
    log_offset end_offset{};
    writer_id writer;
    std::string digest;

    friend auto operator<=>(const chunk_group&, const chunk_group&) = default;
};

/// The chunks read so far, by index.
struct partial_snapshot {
    std::uint64_t count{};
    std::map<std::uint64_t, std::string> parts;

    [[nodiscard]] std::string get_text() const {
        std::string text;
        for (const auto& [index, part] : parts) {
            text += part;
        }
        return text;
    }
};

bool is_inside_utf8_sequence(std::string_view text, std::size_t position) {
    return position < text.size() &&
           (static_cast<unsigned char>(text[position]) & utf8_continuation_mask) == utf8_continuation;
}

std::vector<std::string_view> split_text(std::string_view text) {
    std::vector<std::string_view> parts;
    do {
        std::size_t size = std::min(text.size(), snapshot_chunk_bytes);
        while (size > 1 && is_inside_utf8_sequence(text, size)) {
            --size;
        }
        parts.push_back(text.substr(0, size));
        text.remove_prefix(size);
    } while (!text.empty());
    return parts;
}

/// Collects chunks and keeps the newest complete snapshot.
class snapshot_assembler {
public:
    snapshot_assembler(std::string_view stream, log_offset oldest) : m_stream(stream), m_oldest(oldest) {}

    void add(std::string_view data) {
        const record value = decode_record(data);
        if (value.type != snapshot_chunk_type || json::get_unsigned(value.body, "format") != snapshot_format) {
            return;
        }
        const chunk_group group{.end_offset = json::get_unsigned(value.body, "covers"),
                                .writer = value.writer,
                                .digest = json::get_string(value.body, "digest")};
        if (group.end_offset < m_oldest || (m_newest && group.end_offset <= m_newest->end_offset)) {
            return;
        }
        partial_snapshot& partial = m_partial[group];
        partial.count = json::get_unsigned(value.body, "count");
        partial.parts[json::get_unsigned(value.body, "index")] = json::get_string(value.body, "data");
        if (partial.parts.size() == partial.count) {
            complete(group, partial.get_text());
        }
    }

    [[nodiscard]] std::optional<fold_snapshot> take_newest() { return std::move(m_newest); }

private:
    void complete(const chunk_group& group, std::string text) {
        if (get_sha256_hex(text) == group.digest) {
            m_newest = {.stream = m_stream, .end_offset = group.end_offset, .state = std::move(text)};
        }
        const log_offset end_offset = group.end_offset;
        std::erase_if(m_partial, [end_offset](const auto& entry) { return entry.first.end_offset <= end_offset; });
    }

    std::string m_stream;
    log_offset m_oldest;
    std::map<chunk_group, partial_snapshot> m_partial;
    std::optional<fold_snapshot> m_newest;
};

} // namespace

std::string get_snapshot_stream(std::string_view stream) {
    return std::string(stream) + ".snapshots";
}

std::vector<std::string> encode_snapshot(const fold_snapshot& snapshot, const writer_id& writer) {
    const std::vector<std::string_view> parts = split_text(snapshot.state);
    const std::string digest = get_sha256_hex(snapshot.state);
    std::vector<std::string> records;
    for (std::size_t index = 0; index < parts.size(); ++index) {
        records.push_back(encode_record({.writer = writer,
                                         .sequence = index,
                                         .condition = {},
                                         .fence = {},
                                         .type = std::string(snapshot_chunk_type),
                                         .body = {{"format", snapshot_format},
                                                  {"covers", snapshot.end_offset},
                                                  {"index", index},
                                                  {"count", parts.size()},
                                                  {"digest", digest},
                                                  {"data", parts[index]}}}));
    }
    return records;
}

void write_snapshot(append_log& log, const fold_snapshot& snapshot, const writer_id& writer) {
    // One record per call keeps each request small; a reader accepts the chunks in any order.
    for (const std::string& chunk : encode_snapshot(snapshot, writer)) {
        log.append(get_snapshot_stream(snapshot.stream), std::span(&chunk, 1));
    }
}

std::optional<fold_snapshot> read_newest_snapshot(append_log& log, std::string_view stream, log_offset oldest) {
    snapshot_assembler assembler(stream, oldest);
    const std::string name = get_snapshot_stream(stream);
    log_offset next = 0;
    while (true) {
        const log_batch batch = log.read(name, next, records_per_read);
        for (const log_entry& entry : batch.entries) {
            next = entry.offset + 1;
            try {
                assembler.add(entry.data);
            } catch (const malformed_message_error&) { // NOLINT(bugprone-empty-catch)
                // A malformed chunk leaves its snapshot incomplete; an older or newer snapshot is used instead.
            }
        }
        if (next >= batch.end || batch.entries.empty()) {
            return assembler.take_newest();
        }
    }
}

} // namespace dragonflywell::coordination
