#pragma once

#include <map>
#include <string>

#include "coordination/folded_stream.hpp"
#include "coordination/order.hpp"

namespace dragonflywell::coordination {

/// Folds intents and outcomes into the orders that may still take effect, by subject.
///
/// The state holds unresolved orders only, so its size is bounded by the number of subjects. Not thread safe.
class order_fold final : public snapshot_observer {
public:
    void on_record(log_offset offset, const record& value) override;
    [[nodiscard]] std::string_view get_state_name() const override { return "orders"; }
    [[nodiscard]] boost::json::value save_state() const override;
    void restore_state(const boost::json::value& state) override;

    /// Returns the unresolved order of a subject, or null. The pointer is valid until the next record.
    [[nodiscard]] const unresolved_order* find(const std::string& subject) const;

    [[nodiscard]] const std::map<std::string, unresolved_order>& get_all() const noexcept { return m_unresolved; }

private:
    void apply_intent(log_offset offset, const record& value);
    void apply_outcome(const record& value);

    std::map<std::string, unresolved_order> m_unresolved;
};

/// Returns whether the order's receiver refuses every send of `existing` once it has seen `token`.
[[nodiscard]] bool are_sends_fenced_off(const unresolved_order& existing, const fencing_token& token);

} // namespace dragonflywell::coordination
