#pragma once

#include "coordination/configuration.hpp"
#include "coordination/order_dispatcher.hpp"
#include "coordination/snapshot_writer.hpp"
#include "matrix_simulation.hpp"
#include "support/drifting_clock.hpp"

namespace dragonflywell::testing {

/// The connection of one process to the log, at which the scheduled faults are injected.
class matrix_log final : public coordination::append_log {
public:
    matrix_log(matrix_simulation& simulation, std::string host) : m_simulation(&simulation), m_host(std::move(host)) {}

    coordination::log_offset append(std::string_view stream, std::span<const std::string> records) override;
    coordination::log_batch read(std::string_view stream, coordination::log_offset from,
                                 std::size_t max_records) override;

private:
    void check_log_reachable() const;
    [[nodiscard]] std::string mutate(const std::string& stream, const std::string& data);

    matrix_simulation* m_simulation;
    std::string m_host;
    /// Type of the last appended record until it is read back.
    std::string m_appended;
    /// Newest offsets and fencing numbers, for the mutations that ignore them.
    std::map<std::string, std::uint64_t> m_newest;
};

/// The connection of one process to the receivers of orders.
class matrix_channel final : public coordination::order_receiver {
public:
    matrix_channel(matrix_simulation& simulation, std::string host)
        : m_simulation(&simulation), m_host(std::move(host)) {}

    coordination::order_reply send(const coordination::order& value, const coordination::fencing_token& token,
                                   duration deadline) override;
    coordination::order_query_result query(const coordination::order& value) override;

private:
    matrix_simulation* m_simulation;
    std::string m_host;
};

/// An order dispatcher in which one safeguard is disabled, according to the mutation of the simulation.
class matrix_dispatcher final : public coordination::order_dispatcher {
public:
    matrix_dispatcher(matrix_simulation& simulation, coordination::folded_stream& stream,
                      coordination::lease_candidate& lease, coordination::order_receiver& receiver)
        : order_dispatcher(stream, lease, receiver, simulation), m_mutation(simulation.get_mutation()) {}

protected:
    [[nodiscard]] bool may_send(const coordination::order& value, const coordination::unresolved_order* existing,
                                const coordination::fencing_token& token) const override;
    [[nodiscard]] bool is_accepted(const coordination::order& value,
                                   const coordination::submit_result& intent) const override;
    [[nodiscard]] bool has_authority(const coordination::fencing_token& token) const override;
    [[nodiscard]] bool is_resolved_by_query(const coordination::unresolved_order& existing) const override;

private:
    matrix_mutation m_mutation;
};

/// The process of one host: it competes for the lease, sends orders, publishes and follows the configuration, and
/// writes snapshots.
class matrix_process {
public:
    matrix_process(matrix_simulation& simulation, coordination::writer_id self, double clock_rate);

    /// Runs the tasks of one second. Throws `process_crashed` if the schedule says so.
    void run_round();

    [[nodiscard]] const coordination::writer_id& get_writer() const noexcept { return m_self; }
    [[nodiscard]] std::string get_name() const;
    [[nodiscard]] coordination::log_offset get_version() const;

private:
    /// Runs one task, which may fail because the log is unavailable.
    void attempt(void (matrix_process::*task)());
    void maintain_lease();
    void send_orders();
    void send_order(const std::string& receiver, std::int64_t bucket);
    void follow_configuration();
    void publish();
    void write_snapshots();
    [[nodiscard]] std::int64_t get_second() const;

    matrix_simulation* m_simulation;
    coordination::writer_id m_self;
    drifting_clock m_time;
    matrix_log m_log;
    matrix_channel m_channel;
    coordination::folded_stream m_control;
    coordination::folded_stream m_configuration_stream;
    coordination::configuration_fold m_configuration;
    coordination::lease_candidate m_lease;
    matrix_dispatcher m_dispatcher;
    coordination::snapshot_writer m_control_snapshots;
    coordination::snapshot_writer m_configuration_snapshots;
    std::optional<coordination::log_offset> m_applied_version;
};

} // namespace dragonflywell::testing
