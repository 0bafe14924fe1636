#include "matrix_checker.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace dragonflywell::testing {

namespace {

using coordination::log_offset;
using configuration_entries = std::map<std::string, std::string>;

constexpr duration progress_window = std::chrono::seconds(20);

/// The rules of the log, written a second time and in another way: it decides validity from bytes alone.
class byte_reader {
public:
    /// Returns whether the record at `offset` counts.
    bool read(log_offset offset, const boost::json::object& value) {
        const std::string writer =
            boost::json::serialize(value.at("host")) + boost::json::serialize(value.at("incarnation"));
        const std::uint64_t sequence = value.at("sequence").to_number<std::uint64_t>();
        if (m_sequences.contains(writer) && m_sequences[writer] >= sequence) {
            return false;
        }
        m_sequences[writer] = sequence;
        return has_fence(value) && wins_subject(offset, value) && follow_lease(offset, value, writer);
    }

private:
    struct scope_state {
        std::uint64_t number{};
        std::string holder;
        bool is_held{false};
    };

    bool has_fence(const boost::json::object& value) {
        if (!value.contains("scope")) {
            return true;
        }
        const scope_state& state = m_scopes[value.at("scope").as_string().c_str()];
        return state.is_held && state.number == value.at("fence").to_number<std::uint64_t>();
    }

    bool wins_subject(log_offset offset, const boost::json::object& value) {
        if (!value.contains("subject")) {
            return true;
        }
        const std::string subject = value.at("subject").as_string().c_str();
        const auto newest = m_newest.find(subject);
        const bool expects_none = !value.contains("supersedes");
        const bool wins = newest == m_newest.end()
                              ? expects_none
                              : !expects_none && value.at("supersedes").to_number<std::uint64_t>() == newest->second;
        if (wins) {
            m_newest[subject] = offset;
        }
        return wins;
    }

    bool follow_lease(log_offset offset, const boost::json::object& value, const std::string& writer) {
        const std::string type = value.at("type").as_string().c_str();
        if (type == "lease.claim") {
            const std::string scope = std::string(value.at("subject").as_string().c_str()).substr(6);
            m_scopes[scope] = {.number = offset, .holder = writer, .is_held = true};
        }
        if (type == "lease.renewal" || type == "lease.release") {
            scope_state& state = m_scopes[value.at("scope").as_string().c_str()];
            if (state.holder != writer) {
                return false;
            }
            m_newest["lease/" + std::string(value.at("scope").as_string().c_str())] = offset;
            state.is_held = type == "lease.renewal";
        }
        return true;
    }

    std::map<std::string, std::uint64_t> m_sequences;
    std::map<std::string, log_offset> m_newest;
    std::map<std::string, scope_state> m_scopes;
};

/// The intents that count, and when each came.
struct seen_intent {
    std::string receiver;
    std::string key;
    std::uint64_t number{};
    steady_time when;
};

std::vector<seen_intent> get_intents(const matrix_evidence& evidence) {
    std::vector<seen_intent> intents;
    byte_reader reader;
    const auto stream = evidence.streams.find("control/a");
    for (log_offset offset = 0; offset < stream->second.size(); ++offset) {
        const logged_record& logged = stream->second[offset];
        const boost::json::object value = boost::json::parse(logged.data).as_object();
        if (reader.read(offset, value) && value.at("type").as_string() == "order.intent") {
            intents.push_back({.receiver = value.at("body").at("subject").as_string().c_str(),
                               .key = value.at("body").at("key").as_string().c_str(),
                               .number = value.at("fence").to_number<std::uint64_t>(),
                               .when = logged.when});
        }
    }
    return intents;
}

/// The configuration after each delta that counts.
std::map<log_offset, configuration_entries> get_configurations(const matrix_evidence& evidence) {
    std::map<log_offset, configuration_entries> versions;
    configuration_entries entries;
    byte_reader reader;
    const auto stream = evidence.streams.find("configuration");
    for (log_offset offset = 0; offset < stream->second.size(); ++offset) {
        const boost::json::object value = boost::json::parse(stream->second[offset].data).as_object();
        if (!reader.read(offset, value)) {
            continue;
        }
        for (const auto& [path, text] : value.at("body").at("set").as_object()) {
            entries[path] = boost::json::serialize(text);
        }
        versions[offset] = entries;
    }
    return versions;
}

bool have_intents(const matrix_evidence& evidence) {
    const std::vector<seen_intent> intents = get_intents(evidence);
    const auto is_covered = [&](const std::string& receiver, const order_arrival& arrival) {
        return std::ranges::any_of(intents, [&](const seen_intent& intent) {
            return intent.receiver == receiver && intent.key == arrival.key &&
                   intent.number == arrival.fencing_number && intent.when <= arrival.when;
        });
    };
    return std::ranges::all_of(evidence.arrivals, [&](const auto& entry) {
        return std::ranges::all_of(entry.second,
                                   [&](const order_arrival& arrival) { return is_covered(entry.first, arrival); });
    });
}

/// An order that takes effect again after another one did makes the receiver go back.
bool goes_back(const std::vector<order_arrival>& arrivals) {
    std::set<std::string> left;
    std::string current;
    for (const order_arrival& arrival : arrivals) {
        if (!arrival.is_applied || arrival.key == current) {
            continue;
        }
        if (left.contains(arrival.key)) {
            return true;
        }
        left.insert(current);
        current = arrival.key;
    }
    return false;
}

/// A late copy of the order that is in effect changes nothing; any other order of an older holder does.
bool obeys_superseded(const std::vector<order_arrival>& arrivals) {
    std::uint64_t newest = 0;
    std::string current;
    for (const order_arrival& arrival : arrivals) {
        if (!arrival.is_applied || arrival.key == current) {
            continue;
        }
        if (arrival.fencing_number < newest) {
            return true;
        }
        newest = arrival.fencing_number;
        current = arrival.key;
    }
    return false;
}

/// A second copy from the same holder stands in the list before and is no order of its own: the platform drops it by
/// its key. A copy from another holder is one.
bool hears_older_holder(const std::vector<order_arrival>& arrivals) {
    std::set<std::pair<std::string, std::uint64_t>> heard;
    std::uint64_t newest = 0;
    return std::ranges::any_of(arrivals, [&](const order_arrival& arrival) {
        const bool is_new = heard.emplace(arrival.key, arrival.fencing_number).second;
        const bool is_older = arrival.fencing_number < newest;
        newest = std::max(newest, arrival.fencing_number);
        return is_new && is_older;
    });
}

bool applies_twice(const std::vector<order_arrival>& arrivals) {
    std::set<std::string> keys;
    return std::ranges::any_of(
        arrivals, [&](const order_arrival& arrival) { return arrival.is_applied && !keys.insert(arrival.key).second; });
}

bool is_configuration_true(const matrix_evidence& evidence,
                           const std::map<log_offset, configuration_entries>& versions) {
    std::map<std::string, log_offset> newest;
    for (const forced_configuration& forced : evidence.forced) {
        const auto found = versions.find(forced.version);
        const auto before = newest.find(forced.process);
        const bool reverts = before != newest.end() && forced.version < before->second;
        if (reverts || found == versions.end() || found->second != forced.entries) {
            return false;
        }
        newest[forced.process] = forced.version;
    }
    return true;
}

bool are_operators_told_true(const matrix_evidence& evidence,
                             const std::map<log_offset, configuration_entries>& versions) {
    return std::ranges::all_of(evidence.publications, [&](const told_publication& told) {
        if (told.version) {
            const auto found = versions.find(*told.version);
            return found != versions.end() && found->second.contains(told.path) &&
                   found->second.at(told.path) == told.text;
        }
        return std::ranges::none_of(versions, [&](const auto& entry) {
            const auto found = entry.second.find(told.path);
            return found != entry.second.end() && found->second == told.text;
        });
    });
}

bool is_configuration_everywhere(const matrix_evidence& evidence,
                                 const std::map<log_offset, configuration_entries>& versions) {
    return !versions.empty() && std::ranges::all_of(evidence.final_versions, [&](const auto& entry) {
        return entry.second == versions.rbegin()->first;
    });
}

bool makes_progress(const matrix_evidence& evidence, const std::string& receiver) {
    const auto found = evidence.arrivals.find(receiver);
    return found != evidence.arrivals.end() && std::ranges::any_of(found->second, [&](const order_arrival& arrival) {
               return arrival.is_applied && arrival.when >= evidence.end - progress_window;
           });
}

} // namespace

matrix_verdict check_evidence(const matrix_evidence& evidence) {
    matrix_verdict verdict;
    const auto expect = [&verdict](bool holds, const char* invariant) {
        if (!holds) {
            verdict.broken.emplace_back(invariant);
        }
    };
    const auto get_arrivals = [&evidence](const char* receiver) {
        const auto found = evidence.arrivals.find(receiver);
        return found == evidence.arrivals.end() ? std::vector<order_arrival>{} : found->second;
    };
    const std::map<log_offset, configuration_entries> versions = get_configurations(evidence);
    expect(have_intents(evidence), "intent");
    expect(!goes_back(get_arrivals("checking")) && !goes_back(get_arrivals("ignoring")), "conflict");
    expect(!obeys_superseded(get_arrivals("checking")) && !obeys_superseded(get_arrivals("ignoring")), "superseded");
    expect(!hears_older_holder(get_arrivals("platform")), "two in charge");
    expect(!applies_twice(get_arrivals("platform")), "doubled");
    expect(is_configuration_true(evidence, versions), "configuration");
    expect(are_operators_told_true(evidence, versions), "operator");
    expect(is_configuration_everywhere(evidence, versions), "everywhere");
    expect(makes_progress(evidence, "checking"), "progress");
    for (const char* receiver : {"ignoring", "platform"}) {
        if (!makes_progress(evidence, receiver)) {
            verdict.held.emplace_back(receiver);
        }
    }
    return verdict;
}

} // namespace dragonflywell::testing
