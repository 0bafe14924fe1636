#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

#include "coordination/claim.hpp"
#include "core/clock.hpp"

namespace dragonflywell::coordination {

/// A claim together with the callback that waits for its result.
struct pending_claim {
    claim_request request;
    /// The claim thread calls this once. It must not block, only pass the result on.
    std::function<void(claim_result)> on_answer;
};

/// Claims and settlements that were queued while the previous batch was being written.
struct pending_claim_work {
    std::vector<pending_claim> claims;
    std::vector<claim_settlement> settlements;
};

/// Passes claims from the threads that serve requests to the thread that writes to the log.
///
/// Thread safe. No lock is held during I/O, so a request never waits for I/O here.
class claim_queue {
public:
    /// Queues a claim. A closed queue answers `log_unavailable` at once.
    void claim(const claim_request& request, std::function<void(claim_result)> on_answer);

    /// Queues the outcome of a claim that this process owns.
    void settle(claim_settlement settlement);

    /// Waits up to `timeout` for work and removes all of it from the queue.
    [[nodiscard]] pending_claim_work take_all(duration timeout);

    /// Refuses all later claims and answers the queued ones with `log_unavailable`. Settlements are still accepted.
    void close();

private:
    std::mutex m_mutex;
    std::condition_variable m_work_available;
    pending_claim_work m_work;
    bool m_is_closed{false};
};

} // namespace dragonflywell::coordination
