#include "matrix_checker.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace dragonflywell::testing {

namespace {

using coordination::log_offset;
using configuration_entries = std::map<std::string, std::string>;

constexpr duration progress_window = std::chrono::seconds(20);

/// A second, independent implementation of the rules by which records are valid. It reads the encoded records only.
class record_validator {
public:
    /// Returns whether the record at `offset` is valid.
    bool read(log_offset offset, const boost::json::object& value) {
        const std::string writer =
            boost::json::serialize(value.at("host")) + boost::json::serialize(value.at("incarnation"));
        const std::uint64_t sequence = value.at("sequence").to_number<std::uint64_t>();
        if (m_sequences.contains(writer) && m_sequences[writer] >= sequence) {
            return false;
        }
        m_sequences[writer] = sequence;
        return has_current_fence(value) && meets_condition(offset, value) && update_lease(offset, value, writer);
    }

private:
    struct scope_state {
        std::uint64_t number{};
        std::string holder;
        bool is_held{false};
    };

    bool has_current_fence(const boost::json::object& value) {
        if (!value.contains("scope")) {
            return true;
        }
        const scope_state& state = m_scopes[value.at("scope").as_string().c_str()];
        return state.is_held && state.number == value.at("fence").to_number<std::uint64_t>();
    }

    bool meets_condition(log_offset offset, const boost::json::object& value) {
        if (!value.contains("subject")) {
            return true;
        }
        const std::string subject = value.at("subject").as_string().c_str();
        const auto newest = m_newest.find(subject);
        const bool expects_none = !value.contains("supersedes");
        const bool holds = newest == m_newest.end()
                               ? expects_none
                               : !expects_none && value.at("supersedes").to_number<std::uint64_t>() == newest->second;
        if (holds) {
            m_newest[subject] = offset;
        }
        return holds;
    }

    bool update_lease(log_offset offset, const boost::json::object& value, const std::string& writer) {
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

/// A valid intent and the time at which it was appended.
struct valid_intent {
    std::string receiver;
    std::string key;
    std::uint64_t number{};
    steady_time when;
};

std::vector<valid_intent> get_intents(const matrix_evidence& evidence) {
    std::vector<valid_intent> intents;
    record_validator reader;
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

/// Returns the configuration after each valid delta.
std::map<log_offset, configuration_entries> get_configurations(const matrix_evidence& evidence) {
    std::map<log_offset, configuration_entries> versions;
    configuration_entries entries;
    record_validator reader;
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
    const std::vector<valid_intent> intents = get_intents(evidence);
    const auto is_covered = [&](const std::string& receiver, const order_arrival& arrival) {
        return std::ranges::any_of(intents, [&](const valid_intent& intent) {
            return intent.receiver == receiver && intent.key == arrival.key &&
                   intent.number == arrival.fencing_number && intent.when <= arrival.when;
        });
    };
    return std::ranges::all_of(evidence.arrivals, [&](const auto& entry) {
        return std::ranges::all_of(entry.second,
                                   [&](const order_arrival& arrival) { return is_covered(entry.first, arrival); });
    });
}

/// Returns whether a receiver went back to an order after another one had taken effect.
bool goes_back(const std::vector<order_arrival>& arrivals) {
    std::set<std::string> superseded;
    std::string current;
    for (const order_arrival& arrival : arrivals) {
        if (!arrival.is_applied || arrival.key == current) {
            continue;
        }
        if (superseded.contains(arrival.key)) {
            return true;
        }
        superseded.insert(current);
        current = arrival.key;
    }
    return false;
}

/// Returns whether an order of an older holder took effect after one of a newer holder. A late copy of the order in
/// effect changes nothing and does not count.
bool follows_superseded_holder(const std::vector<order_arrival>& arrivals) {
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

/// Returns whether a new order of an older holder arrived after one of a newer holder. A second copy from the same
/// holder does not count, because the platform drops it by its key; a copy from another holder counts.
bool receives_from_older_holder(const std::vector<order_arrival>& arrivals) {
    std::set<std::pair<std::string, std::uint64_t>> received;
    std::uint64_t newest = 0;
    return std::ranges::any_of(arrivals, [&](const order_arrival& arrival) {
        const bool is_new = received.emplace(arrival.key, arrival.fencing_number).second;
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

bool matches_log_configuration(const matrix_evidence& evidence,
                               const std::map<log_offset, configuration_entries>& versions) {
    std::map<std::string, log_offset> newest;
    for (const applied_configuration& applied : evidence.applied) {
        const auto found = versions.find(applied.version);
        const auto before = newest.find(applied.process);
        const bool reverts = before != newest.end() && applied.version < before->second;
        if (reverts || found == versions.end() || found->second != applied.entries) {
            return false;
        }
        newest[applied.process] = applied.version;
    }
    return true;
}

bool are_publication_results_correct(const matrix_evidence& evidence,
                                     const std::map<log_offset, configuration_entries>& versions) {
    return std::ranges::all_of(evidence.publications, [&](const publication_result& publication) {
        if (publication.version) {
            const auto found = versions.find(*publication.version);
            return found != versions.end() && found->second.contains(publication.path) &&
                   found->second.at(publication.path) == publication.text;
        }
        return std::ranges::none_of(versions, [&](const auto& entry) {
            const auto found = entry.second.find(publication.path);
            return found != entry.second.end() && found->second == publication.text;
        });
    });
}

bool have_all_newest_configuration(const matrix_evidence& evidence,
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

check_result check_evidence(const matrix_evidence& evidence) {
    check_result result;
    const auto expect = [&result](bool holds, const char* invariant) {
        if (!holds) {
            result.broken.emplace_back(invariant);
        }
    };
    const auto get_arrivals = [&evidence](const char* receiver) {
        const auto found = evidence.arrivals.find(receiver);
        return found == evidence.arrivals.end() ? std::vector<order_arrival>{} : found->second;
    };
    const std::map<log_offset, configuration_entries> versions = get_configurations(evidence);
    expect(have_intents(evidence), "intent");
    expect(!goes_back(get_arrivals("checking")) && !goes_back(get_arrivals("ignoring")), "conflict");
    expect(!follows_superseded_holder(get_arrivals("checking")) && !follows_superseded_holder(get_arrivals("ignoring")),
           "superseded");
    expect(!receives_from_older_holder(get_arrivals("platform")), "two in charge");
    expect(!applies_twice(get_arrivals("platform")), "doubled");
    expect(matches_log_configuration(evidence, versions), "configuration");
    expect(are_publication_results_correct(evidence, versions), "operator");
    expect(have_all_newest_configuration(evidence, versions), "everywhere");
    expect(makes_progress(evidence, "checking"), "progress");
    for (const char* receiver : {"ignoring", "platform"}) {
        if (!makes_progress(evidence, receiver)) {
            result.blocked.emplace_back(receiver);
        }
    }
    return result;
}

} // namespace dragonflywell::testing
