#include "soak/configuration_checker.hpp"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace dragonflywell::soak {

namespace {

/// Longest time between the acknowledgement of a version and the time from which each host uses it.
constexpr duration configuration_bound = std::chrono::seconds(2);

std::uint64_t get_version(std::string_view metrics) {
    constexpr std::string_view name = "\ndragonflywell_configuration_version ";
    const std::size_t found = metrics.find(name);
    std::uint64_t version = 0;
    if (found != std::string_view::npos) {
        const std::string_view text = metrics.substr(found + name.size());
        std::from_chars(text.data(), text.data() + text.size(), version);
    }
    return version;
}

} // namespace

void configuration_checker::add_publication(std::uint64_t version) {
    m_publications.push_back({.version = version, .at = m_time->now()});
}

std::uint64_t configuration_checker::get_required_version(steady_time asked_at) const {
    std::uint64_t required = 0;
    for (const publication& known : m_publications) {
        if (known.at + configuration_bound < asked_at) {
            required = std::max(required, known.version);
        }
    }
    return required;
}

void configuration_checker::check(const std::string& host, int start_count, std::string_view metrics,
                                  steady_time asked_at) {
    const std::uint64_t version = get_version(metrics);
    if (version == 0) {
        return;
    }
    const process asked{host, start_count};
    std::uint64_t& newest = m_newest[asked];
    if (version < newest) {
        m_checker->add_violation(fmt::format("{} goes back from version {} to {}", host, newest, version));
    }
    newest = std::max(newest, version);
    const std::uint64_t required = get_required_version(asked_at);
    std::uint64_t& missing = m_missing[asked];
    if (version < required && missing < required && m_is_planned_only()) {
        missing = required;
        m_checker->add_violation(
            fmt::format("{} uses version {}, although {} is in force for longer than 2 s", host, version, required));
    }
}

} // namespace dragonflywell::soak
