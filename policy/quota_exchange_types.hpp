#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/identifiers.hpp"

namespace dragonflywell::policy {

/// Number of parts into which the subjects are divided. All subjects of a part have the same owner. More
/// parts mean more datagrams of each host, fewer mean more work of each owner.
constexpr std::uint32_t quota_parts = 16;

/// How long an owner counts the share of a host, by the time at which the host sent its request.
constexpr duration pledge_time = std::chrono::seconds(1);
/// How long a host may use a grant, by the time at which it sent the request. It outlasts the interval of requests, and
/// is short, since shares change their owner only after it.
constexpr duration grant_time = std::chrono::milliseconds(500);

/// What a request does with the share of its host.
enum class quota_pledge : std::uint8_t {
    none,
    /// The owner may grant it to any host.
    pledged,
    /// The host takes it back before its time.
    released
};

/// What the shares of a host hold before it has ever used them.
enum class quota_start : std::uint8_t { none, restart, first_start };

/// What a host needs of the quota of a subject, and what it has of it.
struct quota_need {
    quota_subject subject;
    /// What the host has used of the grants of this owner, less what was not run.
    double used_total{};
    /// What it has of them and keeps.
    double held{};
    /// What its waiting requests need beyond that.
    double waiting{};
    /// What it expects to need soon beyond that.
    double expected{};
    /// What it refused since the last answered request, without having asked.
    double refused{};
    /// The limit that the subject names, if it does and as the host knows it (`make_server_limit`). An owner that knows
    /// none, or a larger one, applies it until a second after the last host has stated it.
    std::optional<double> named_limit{std::nullopt};

    friend bool operator==(const quota_need&, const quota_need&) = default;
};

/// What a host sends to the owner of a part of the subjects. A host has one such request in flight to an owner;
/// it ignores a grant for an earlier one.
struct quota_request {
    std::string host;
    std::uint64_t incarnation{};
    std::uint32_t part{};
    /// Increases with each request of a host; zero for one that only asks whether the owner answers.
    std::uint64_t sequence{};
    /// Incarnation and time of the owner in the last grant, and how long the host has had it. They tell the owner how
    /// old the request can be at most.
    std::uint64_t owner_incarnation{};
    duration owner_time{};
    duration held_for{};
    quota_pledge pledge{quota_pledge::none};
    quota_start start{quota_start::none};
    std::vector<quota_need> needs;

    friend bool operator==(const quota_request&, const quota_request&) = default;
};

/// What an owner grants of the quota of a subject.
struct quota_allowance {
    quota_subject subject;
    double granted{};
    /// If the host did not get what it asked for, or has refused requests: when the time begins that is booked for it,
    /// and what the host may book per second for requests that it refuses without asking.
    duration booked_from{};
    double booked_rate{};
    /// How long the host should refuse requests without asking.
    duration blocked_for{};

    friend bool operator==(const quota_allowance&, const quota_allowance&) = default;
};

/// Answer of an owner to a request.
struct quota_grant {
    std::string owner;
    std::uint64_t incarnation{};
    std::uint32_t part{};
    /// Sequence of the request.
    std::uint64_t sequence{};
    /// By the clock of the owner.
    duration time{};
    /// Whether the owner has given the share of the host back.
    bool is_released{false};
    std::vector<quota_allowance> allowances;

    friend bool operator==(const quota_grant&, const quota_grant&) = default;
};

} // namespace dragonflywell::policy
