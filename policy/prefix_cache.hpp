#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace dragonflywell::policy {

/// One block of a prompt, the unit of prefix caching.
struct prefix_block {
    std::uint64_t id{};
    std::uint32_t tokens{};

    friend bool operator==(const prefix_block&, const prefix_block&) = default;
};

/// Estimate of the content of an engine's prefix cache: an LRU cache of prompt blocks with a capacity in tokens.
/// Not thread safe.
class prefix_cache {
public:
    /// `capacity_tokens`: capacity that the engine has for prompts which are not running.
    explicit prefix_cache(std::uint64_t capacity_tokens = 0) noexcept : m_capacity_tokens(capacity_tokens) {}

    void set_capacity(std::uint64_t capacity_tokens);

    /// Records that the engine runs the prefill of a prompt with these blocks.
    void touch(std::span<const prefix_block> blocks);

    /// Returns the number of tokens at the beginning of the prompt that are in the cache.
    [[nodiscard]] std::uint64_t get_cached_tokens(std::span<const prefix_block> blocks) const;

    void clear();

    [[nodiscard]] std::uint64_t get_held_tokens() const noexcept { return m_held_tokens; }

private:
    void evict();

    std::uint64_t m_capacity_tokens;
    std::uint64_t m_held_tokens{0};
    /// Blocks by time of use; the most recently used one is in front.
    std::list<prefix_block> m_order;
    std::unordered_map<std::uint64_t, std::list<prefix_block>::iterator> m_blocks;
};

} // namespace dragonflywell::policy
