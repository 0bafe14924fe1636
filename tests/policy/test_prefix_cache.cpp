#include <doctest/doctest.h>

#include <array>

#include "policy/prefix_cache.hpp"

using namespace dragonflywell::policy;

TEST_CASE("a part counts as cached only when all parts before it are") {
    prefix_cache cache(100);
    const std::array first{cached_part{.id = 1, .tokens = 10}, cached_part{.id = 2, .tokens = 20}};
    cache.touch(first);
    CHECK(cache.get_cached_tokens(first) == 30);
    const std::array other_start{cached_part{.id = 9, .tokens = 5}, cached_part{.id = 2, .tokens = 20}};
    CHECK(cache.get_cached_tokens(other_start) == 0);
    const std::array longer{cached_part{.id = 1, .tokens = 10}, cached_part{.id = 3, .tokens = 20}};
    CHECK(cache.get_cached_tokens(longer) == 10);
}

TEST_CASE("the parts used least recently make room, the first part of a prompt last") {
    prefix_cache cache(50);
    const std::array old{cached_part{.id = 1, .tokens = 10}, cached_part{.id = 2, .tokens = 20}};
    cache.touch(old);
    const std::array newer{cached_part{.id = 3, .tokens = 30}};
    cache.touch(newer);
    CHECK(cache.get_cached_tokens(newer) == 30);
    CHECK(cache.get_cached_tokens(old) == 10);
    CHECK(cache.get_held_tokens() == 40);
}

TEST_CASE("a prompt larger than the cache leaves it empty") {
    prefix_cache cache(50);
    const std::array large{cached_part{.id = 1, .tokens = 60}};
    cache.touch(large);
    CHECK(cache.get_held_tokens() == 0);
    cache.set_capacity(100);
    cache.touch(large);
    cache.clear();
    CHECK(cache.get_cached_tokens(large) == 0);
}
