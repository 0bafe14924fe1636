#include <coordination/lease.hpp>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace {

namespace coordination = dragonflywell::coordination;

/// An in-memory log. A real program implements this interface with its platform's log.
class memory_log final : public coordination::append_log {
public:
    coordination::log_offset append(std::string_view stream, std::span<const std::string> records) override {
        std::vector<std::string>& kept = m_streams[std::string(stream)];
        const coordination::log_offset first = kept.size();
        kept.insert(kept.end(), records.begin(), records.end());
        return first;
    }

    coordination::log_batch read(std::string_view stream, coordination::log_offset from, std::size_t most) override {
        const std::vector<std::string>& kept = m_streams[std::string(stream)];
        coordination::log_batch batch{.entries = {}, .oldest = 0, .end = kept.size()};
        for (coordination::log_offset offset = from; offset < kept.size() && batch.entries.size() < most; ++offset) {
            batch.entries.push_back({.offset = offset, .data = kept[offset]});
        }
        return batch;
    }

private:
    std::map<std::string, std::vector<std::string>> m_streams;
};

} // namespace

/// Acquires the lease of one scope, prints it and releases it.
int main() {
    memory_log log;
    const dragonflywell::host_clock time;
    coordination::folded_stream stream(log, "control/a", {.host = "example", .incarnation = 1});
    coordination::lease_candidate holder(stream, time, {.scope = "control/a"});
    holder.tick();
    const auto token = holder.get_authority();
    if (!token) {
        std::cerr << "The lease was not acquired.\n";
        return 1;
    }
    std::cout << "Lease of " << token->scope << " with fencing number " << token->number << "\n";
    holder.release();
    return holder.get_authority() ? 1 : 0;
}
