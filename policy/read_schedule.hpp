#pragma once

#include <cstddef>
#include <optional>

#include "core/clock.hpp"
#include "core/log_position.hpp"
#include "policy/topic_progress.hpp"

namespace dragonflywell::policy {

/// How the time within which a host has to know of a change of a topic is divided among the steps until then, so that
/// the host knows in time although any one answer is lost, late or stale.
struct read_times {
    /// Interval between two reads of the leader of a group.
    duration leader_interval;
    /// Age of the topic at which another host reads the store itself.
    duration max_age;
    /// Time after which a read without an answer is repeated on another connection.
    duration hedge_delay;
    /// Pause before the next read after one that failed or returned stale state.
    duration retry_pause;
    /// Usual time of an answer.
    duration answer_time;
    /// Time limit for the answer to one read.
    duration call_limit;
    /// How long the leader may take to send a record again that is known to be missing.
    duration gap_patience;
    /// What is left for decoding, late timers and the way of a request to its server.
    duration margin;

    /// Returns the steps within a bound. Precondition: the bound is positive.
    [[nodiscard]] static constexpr read_times within(duration bound) {
        return {.leader_interval = bound * 28 / 100,
                .max_age = bound / 2,
                .hedge_delay = bound / 10,
                .retry_pause = bound / 10,
                .answer_time = bound / 10,
                .call_limit = bound * 35 / 100,
                .gap_patience = bound * 15 / 100,
                .margin = bound / 5};
    }

    /// Returns the highest age of the topic when the first read that is due gets no answer, or a late one.
    [[nodiscard]] constexpr duration get_age_after_lost_answer() const { return max_age + hedge_delay + answer_time; }

    /// Returns the highest age of the topic when the first read that is due is refused, or answered with stale state.
    [[nodiscard]] constexpr duration get_age_after_stale_answer() const {
        return max_age + answer_time + retry_pause + answer_time;
    }
};

/// Decides when a host reads a topic of the store.
///
/// The leader of a group reads at an interval and tells its group. Another host reads when nobody has confirmed for
/// some time that the topic is current here, or when it knows that a record is missing. A read without an answer is
/// repeated on another connection before its time limit, so that one lost answer does not cost that limit. Pure state;
/// not thread safe.
class read_schedule {
public:
    /// `bound`: time within which the host has to know of a change. Precondition: positive.
    explicit read_schedule(duration bound) : m_times(read_times::within(bound)) {}

    [[nodiscard]] const read_times& get_times() const noexcept { return m_times; }

    void set_reader(bool is_reader) noexcept { m_is_reader = is_reader; }
    [[nodiscard]] bool is_reader() const noexcept { return m_is_reader; }

    /// Records that the topic has records up to `end` which this host does not have, although they were sent to it.
    void note_gap(const log_position& end, steady_time now);

    /// Records that the topic was read up to a position.
    void note_progress(const log_position& next);

    /// Returns whether records are known to be missing.
    [[nodiscard]] bool has_gap() const noexcept { return m_gap.has_value(); }

    /// Returns when the next read is due; a time in the past means now. The largest time means that only an event can
    /// make one due.
    [[nodiscard]] steady_time get_next_read_at(const topic_progress& topic) const;

    /// Records that a read begins. Returns whether it repeats one that has no answer yet.
    bool begin_read(steady_time now);
    /// Records that a read has ended. Precondition: one is under way.
    void end_read() noexcept { --m_reads; }
    /// Delays the next read after one that brought nothing.
    void pause(steady_time now) { m_not_before = now + m_times.retry_pause; }

private:
    static constexpr std::size_t max_reads = 2;

    struct gap {
        log_position end;
        steady_time noticed_at{};
    };

    read_times m_times;
    bool m_is_reader{false};
    std::optional<gap> m_gap;
    std::size_t m_reads{0};
    steady_time m_last_begun_at{};
    steady_time m_not_before{};
};

} // namespace dragonflywell::policy
