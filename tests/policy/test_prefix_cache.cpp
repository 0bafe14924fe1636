#include <doctest/doctest.h>

#include <array>

#include "policy/prefix_cache.hpp"

using namespace dragonflywell::policy;

TEST_CASE("a block counts as cached only if all blocks before it are cached") {
    prefix_cache cache(100);
    const std::array first{prefix_block{.id = 1, .tokens = 10}, prefix_block{.id = 2, .tokens = 20}};
    cache.touch(first);
    CHECK(cache.get_cached_tokens(first) == 30);
    const std::array other_start{prefix_block{.id = 9, .tokens = 5}, prefix_block{.id = 2, .tokens = 20}};
    CHECK(cache.get_cached_tokens(other_start) == 0);
    const std::array longer{prefix_block{.id = 1, .tokens = 10}, prefix_block{.id = 3, .tokens = 20}};
    CHECK(cache.get_cached_tokens(longer) == 10);
}

TEST_CASE("the least recently used blocks are evicted first, and the first block of a prompt last") {
    prefix_cache cache(50);
    const std::array old{prefix_block{.id = 1, .tokens = 10}, prefix_block{.id = 2, .tokens = 20}};
    cache.touch(old);
    const std::array newer{prefix_block{.id = 3, .tokens = 30}};
    cache.touch(newer);
    CHECK(cache.get_cached_tokens(newer) == 30);
    CHECK(cache.get_cached_tokens(old) == 10);
    CHECK(cache.get_held_tokens() == 40);
}

TEST_CASE("a prompt larger than the cache leaves it empty") {
    prefix_cache cache(50);
    const std::array large{prefix_block{.id = 1, .tokens = 60}};
    cache.touch(large);
    CHECK(cache.get_held_tokens() == 0);
    cache.set_capacity(100);
    cache.touch(large);
    cache.clear();
    CHECK(cache.get_cached_tokens(large) == 0);
}
