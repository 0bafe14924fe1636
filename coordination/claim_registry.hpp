#pragma once

#include <span>
#include <vector>

#include "coordination/claim_fold.hpp"
#include "core/clock.hpp"

namespace dragonflywell::coordination {

struct claim_options {
    /// How long a key is remembered after it was claimed. It must be shorter than the log's retention and the same on
    /// all hosts.
    std::chrono::seconds window{std::chrono::hours(1)};
    /// Maximum time from a claim to its outcome. After it the claim counts as unknown instead of running. At most half
    /// the window.
    std::chrono::seconds max_run_time{std::chrono::minutes(10)};
    /// New claims are refused while this many are stored.
    std::size_t max_entries{50000};
};

/// Acquires claims for the requests of one process and reports the state of the claims of all processes.
///
/// There is no leader: the first valid claim of an identifier in the log wins, once it was read back. Not thread safe.
class claim_registry {
public:
    /// Preconditions: `stream` and `time` outlive this object; `stream` folds the claim stream and was not polled yet.
    claim_registry(folded_stream& stream, const clock_source& time, claim_options options);

    /// Reads the records that other processes wrote. Throws `log_unavailable_error`.
    void poll();

    /// Writes the settlements and the claims in one append and returns the result of each claim.
    /// Settlements that could not be confirmed are kept and written by a later call. Does not throw if the log is
    /// unavailable.
    std::vector<claim_result> process(std::span<const claim_request> requests,
                                      std::span<const claim_settlement> settlements);

    /// Returns whether there are settlements that the log has not confirmed yet.
    [[nodiscard]] bool has_unwritten_settlements() const noexcept { return !m_unwritten.empty(); }
    [[nodiscard]] std::size_t get_size() const noexcept { return m_fold.get_size(); }

private:
    [[nodiscard]] std::vector<claim_request> get_unclaimed(std::span<const claim_request> requests) const;
    [[nodiscard]] std::optional<log_offset> write(const std::vector<claim_request>& claims);
    /// Returns whether this process owns the claim, has not settled it and may be running its request.
    [[nodiscard]] bool is_own_running(const claim_id& id) const;
    [[nodiscard]] bool is_release_unwritten(const claim_id& id) const;
    [[nodiscard]] claim_result get_state(const claim_request& request) const;

    folded_stream* m_stream;
    const clock_source* m_time;
    claim_options m_options;
    claim_fold m_fold;
    std::vector<claim_settlement> m_unwritten;
};

} // namespace dragonflywell::coordination
