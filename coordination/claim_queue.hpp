#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <vector>

#include "coordination/claim.hpp"
#include "core/clock.hpp"

namespace dragonflywell::coordination {

/// A claim together with who waits for its answer.
struct pending_claim {
    claim_request request;
    /// Called once, by the claim thread; must only hand the answer on.
    std::function<void(claim_result)> on_answer;
};

/// What gathered in the queue while the last batch was written.
struct pending_claim_work {
    std::vector<pending_claim> claims;
    std::vector<claim_settlement> settlements;
};

/// Hands claims from the threads that serve requests to the one that writes to the log.
///
/// Thread safe. A request never waits for a lock that is held during I/O.
class claim_queue {
public:
    /// Asks for a claim. A closed queue answers `log_unavailable` at once.
    void claim(const claim_request& request, std::function<void(claim_result)> on_answer);

    /// Reports how an own claim ended.
    void settle(claim_settlement settlement);

    /// Waits up to `most` for work and takes all of it.
    [[nodiscard]] pending_claim_work take_all(duration most);

    /// Refuses what comes later and answers what waits. Settlements are still taken.
    void close();

private:
    std::mutex m_mutex;
    std::condition_variable m_filled;
    pending_claim_work m_round;
    bool m_is_closed{false};
};

} // namespace dragonflywell::coordination
