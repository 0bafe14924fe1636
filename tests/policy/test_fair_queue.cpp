#include <doctest/doctest.h>

#include <array>

#include "policy/fair_queue.hpp"

using namespace dragonflywell;
using policy::fair_queue;

namespace {

const organisation_name large("large");
const organisation_name little("little");

} // namespace

TEST_CASE("a burst of one organisation does not delay another organisation") {
    fair_queue queue(0.1);
    for (policy::ticket_number ticket = 0; ticket < 100; ++ticket) {
        queue.push(ticket, large, 1, {.prefill_tokens = 1000, .decode_tokens = 100});
    }
    queue.serve(*queue.peek());
    queue.push(1000, little, 1, {.prefill_tokens = 100, .decode_tokens = 100});
    CHECK(queue.peek() == 1000);
}

TEST_CASE("work is shared by weight, counting prefill and decode tokens") {
    fair_queue queue(0.5);
    for (policy::ticket_number ticket = 0; ticket < 600; ++ticket) {
        const bool is_large = ticket % 2 == 0;
        // Each request is 20 or 10 units of work.
        queue.push(ticket, is_large ? large : little, is_large ? 2 : 1,
                   {.prefill_tokens = is_large ? 20U : 0U, .decode_tokens = 10});
    }
    std::array<int, 2> served{};
    for (int turn = 0; turn < 200; ++turn) {
        const policy::ticket_number ticket = *queue.peek();
        ++served.at(ticket % 2);
        queue.serve(ticket);
    }
    // Twice the weight and twice the work per request result in the same number of requests.
    CHECK(served[0] >= 99);
    CHECK(served[0] <= 101);
}

TEST_CASE("a cancelled request is not charged to its organisation") {
    fair_queue queue(1.0);
    queue.push(1, large, 1, {.prefill_tokens = 0, .decode_tokens = 1000});
    queue.withdraw(1);
    CHECK(queue.size() == 0);
    CHECK(queue.get_work_ahead(large) == 0.0);
    queue.push(2, large, 1, {.prefill_tokens = 0, .decode_tokens = 10});
    queue.push(3, little, 1, {.prefill_tokens = 0, .decode_tokens = 10});
    // A further request of this organisation is served after both.
    CHECK(queue.get_work_ahead(little) == 20.0);
    CHECK(queue.peek() == 2);
}
