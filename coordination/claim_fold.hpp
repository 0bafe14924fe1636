#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <span>
#include <unordered_map>

#include "coordination/claim.hpp"
#include "coordination/folded_stream.hpp"
#include "core/clock.hpp"

namespace dragonflywell::coordination {

/// One batch of settlements and new claims. The settlements apply first.
struct claim_batch {
    /// Wall time of the writer, in seconds since the epoch.
    std::uint64_t written_at{};
    std::vector<claim_settlement> settlements;
    std::vector<claim_request> claims;
};

[[nodiscard]] record_draft make_claim_batch_record(const claim_batch& batch);

/// Throws `malformed_message_error`.
[[nodiscard]] claim_batch parse_claim_batch(const boost::json::object& body);

/// The state of one claim that is not older than the window, as the log gives it.
struct claim_entry {
    std::uint64_t digest{};
    /// Offset of the batch that acquired the claim.
    log_offset offset{};
    std::uint64_t claimed_at{};
    std::uint32_t owner{};
    /// Absent until the owner settles the claim. Never `released`, since releasing removes the entry.
    std::optional<claim_outcome> outcome;
    std::unique_ptr<const recorded_response> response;
};

/// Folds the claim stream into the state of all claims: the first valid claim of an identifier in log order wins.
///
/// The state depends on the records alone, never on the reader's clock, so all hosts agree. A claim expires once a
/// record in the stream has a time that is one window later; its identifier is then free again. Not thread safe.
class claim_fold final : public record_observer {
public:
    /// Precondition: every writer of the stream uses the same window, and the log keeps records for longer than that.
    explicit claim_fold(std::chrono::seconds window);

    void on_record(log_offset offset, const record& value) override;

    /// Returns the entry, or null if the identifier is free. The pointer is valid until the next record.
    [[nodiscard]] const claim_entry* find(const claim_id& id) const;

    /// Returns the process that owns the claim. Precondition: the entry belongs to this fold.
    [[nodiscard]] const writer_id& get_owner(const claim_entry& entry) const { return m_writers[entry.owner]; }

    /// Returns whether a later incarnation of the owner's host has written to the stream, so that the owner cannot be
    /// running.
    [[nodiscard]] bool is_owner_replaced(const claim_entry& entry) const;

    [[nodiscard]] std::size_t get_size() const noexcept { return m_entries.size(); }

private:
    struct expiring_claim {
        std::uint64_t claimed_at{};
        claim_id id;
        log_offset offset{};
    };

    std::uint32_t get_writer_index(const writer_id& writer);
    void expire_claims(std::uint64_t written_at);
    void apply_settlement(const claim_settlement& settlement, std::uint32_t writer);

    std::chrono::seconds m_window;
    std::uint64_t m_latest_time{0};
    std::vector<writer_id> m_writers;
    std::map<writer_id, std::uint32_t> m_writer_indices;
    std::map<std::string, std::uint64_t> m_newest_incarnations;
    std::unordered_map<claim_id, claim_entry> m_entries;
    std::deque<expiring_claim> m_expiry_queue;
};

} // namespace dragonflywell::coordination
