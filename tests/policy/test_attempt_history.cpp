#include <doctest/doctest.h>

#include "policy/attempt_history.hpp"

using namespace dragonflywell;
using policy::attempt_history;
using policy::request_outcome;

TEST_CASE("the outcome not_run is reported only while no attempt has written a byte") {
    for (const bool is_repeatable : {false, true}) {
        attempt_history history(is_repeatable);
        CHECK(history.get_outcome() == request_outcome::not_run);
        history.add_failure(backend_server_name("a"), false);
        history.add_failure(backend_server_name("b"), false);
        CHECK(history.get_outcome() == request_outcome::not_run);
        CHECK(history.may_retry(3));
        history.add_failure(backend_server_name("c"), true);
        history.add_failure(backend_server_name("d"), false);
        CHECK(history.get_outcome() ==
              (is_repeatable ? request_outcome::failed_after_start : request_outcome::unknown));
        CHECK(history.may_retry(10) == is_repeatable);
        CHECK_FALSE(history.may_retry(4));
    }
}
