#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "coordination/folded_stream.hpp"
#include "coordination/order_dispatcher.hpp"

namespace dragonflywell::coordination {

/// Treats an incarnation as terminated once a later incarnation of the same host has written to the stream.
///
/// Precondition: a host name belongs to one machine, which runs one process under this name at a time. Not thread safe.
class incarnation_tracker final : public record_observer, public host_liveness {
public:
    void on_record(log_offset /*offset*/, const record& value) override {
        std::uint64_t& newest = m_newest[value.writer.host];
        newest = std::max(newest, value.writer.incarnation);
    }

    [[nodiscard]] bool has_terminated(const writer_id& sender) const override {
        const auto found = m_newest.find(sender.host);
        return found != m_newest.end() && found->second > sender.incarnation;
    }

private:
    std::map<std::string, std::uint64_t> m_newest;
};

} // namespace dragonflywell::coordination
