#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace dragonflywell::policy {

/// One part of a prompt, as far as caches are concerned.
struct prefix_block {
    std::uint64_t id{};
    std::uint32_t tokens{};

    friend bool operator==(const prefix_block&, const prefix_block&) = default;
};

/// What this host believes an engine's memory still holds of earlier prompts: the parts used last, up to a capacity.
/// Not thread safe.
class prefix_cache {
public:
    /// `capacity_tokens`: how much the engine keeps of prompts that are not running.
    explicit prefix_cache(std::uint64_t capacity_tokens = 0) noexcept : m_capacity_tokens(capacity_tokens) {}

    void set_capacity(std::uint64_t capacity_tokens);

    /// Notes that the engine reads a prompt of these parts.
    void touch(std::span<const prefix_block> parts);

    /// Returns how many tokens at the beginning of the prompt need not be read again.
    [[nodiscard]] std::uint64_t get_cached_tokens(std::span<const prefix_block> parts) const;

    void clear();

    [[nodiscard]] std::uint64_t get_held_tokens() const noexcept { return m_held_tokens; }

private:
    void evict();

    std::uint64_t m_capacity_tokens;
    std::uint64_t m_held_tokens{0};
    /// The part used last is in front.
    std::list<prefix_block> m_order;
    std::unordered_map<std::uint64_t, std::list<prefix_block>::iterator> m_parts;
};

} // namespace dragonflywell::policy
