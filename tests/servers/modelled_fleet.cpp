#include "modelled_fleet.hpp"

#include <algorithm>
#include <string>

#include "modelled_clock.hpp"
#include "modelled_host.hpp"

namespace dragonflywell::testing {

namespace {

using namespace std::chrono_literals;
using fleet::engine_stage;

constexpr duration exchange_interval = 50ms;
constexpr duration group_exchange_interval = 500ms;

std::string get_host_name(std::size_t number) {
    return "host-" + std::to_string(number);
}

} // namespace

modelled_fleet::modelled_fleet(modelled_fleet_options options)
    : m_options(std::move(options)), m_random(m_options.seed), m_clock(std::make_unique<fleet_clock>(*this)),
      m_seconds(static_cast<std::size_t>(m_options.length / 1s) + 1) {
    for (std::size_t number = 0; number < m_options.prefill_engines + m_options.decode_engines; ++number) {
        const engine_stage stage = number < m_options.prefill_engines ? engine_stage::prefill : engine_stage::decode;
        m_engines.push_back(std::make_unique<engine>(*this, number, stage));
    }
    for (std::size_t number = 0; number < m_options.groups * m_options.hosts_in_group; ++number) {
        m_hosts.push_back(std::make_unique<host>(*this, number));
    }
    m_group_loads.assign(m_options.groups, policy::get_unknown_group_load());
    update_engines();
}

modelled_fleet::~modelled_fleet() {
    // Requests refer to what their hosts have learned.
    m_events = {};
}

void modelled_fleet::post(duration delay, std::function<void()> action) {
    m_events.push({.at = m_now + delay, .number = ++m_event_number, .action = std::move(action)});
}

modelled_fleet::engine& modelled_fleet::find_engine(const backend_server_name& name) {
    return **std::find_if(m_engines.begin(), m_engines.end(),
                          [&](const std::unique_ptr<engine>& item) { return item->get_name() == name; });
}

std::size_t modelled_fleet::get_engine_group(const backend_server_name& name) const {
    return static_cast<std::size_t>(std::stoi(name.value())) % m_options.groups;
}

void modelled_fleet::share_prefix(std::size_t from_host, const backend_server_name& engine,
                                  std::vector<policy::prefix_block> parts) {
    for (std::size_t receiver = 0; receiver < m_hosts.size(); ++receiver) {
        if (receiver == from_host) {
            continue;
        }
        const bool is_near = get_group(receiver) == get_group(from_host);
        post(is_near ? exchange_interval : group_exchange_interval, [this, receiver, engine, parts] {
            m_hosts[receiver]->get_engines().load_tracker.record_prefix_access(engine, parts);
        });
    }
}

void modelled_fleet::exchange_group_loads() {
    for (std::size_t group = 0; group < m_options.groups; ++group) {
        const auto is_counted = [&](const backend_server_name& name) {
            return get_engine_group(name) == group && !find_engine(name).is_lost();
        };
        m_group_loads[group] = policy::get_group_load(m_hosts[group]->get_engines().load_tracker, is_counted, m_now);
    }
    post(group_exchange_interval, [this] { exchange_group_loads(); });
}

modelled_second& modelled_fleet::get_second(const request& of) {
    return m_seconds[static_cast<std::size_t>((of.asked_at - m_began_at) / 1s)];
}

void modelled_fleet::update_engines() {
    std::map<backend_server_name, policy::engine_attributes> attributes;
    for (const std::unique_ptr<engine>& item : m_engines) {
        if (!item->is_lost()) {
            attributes.emplace(item->get_name(), policy::engine_attributes{.zone = zone_name("z"),
                                                                           .stage = item->get_stage(),
                                                                           .slots = engine::slots,
                                                                           .memory_tokens = engine::memory_tokens,
                                                                           .started_at_ms = 1});
        }
    }
    for (const std::unique_ptr<host>& item : m_hosts) {
        item->get_engines().load_tracker.set_engines(attributes);
    }
}

void modelled_fleet::schedule_arrival(std::size_t kind) {
    const double rate = m_options.kinds[kind].rate * (m_is_burst ? m_options.burst.factor : 1);
    const double wait = std::exponential_distribution<double>(rate)(m_random);
    post(std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait)), [this, kind] {
        schedule_arrival(kind);
        const modelled_kind& described = m_options.kinds[kind];
        const std::uint64_t prefix = 1'000'000 * (kind + 1) + m_random() % described.shared_prefixes;
        const std::uint64_t number = ++m_request_number;
        const request_ptr incoming = std::make_shared<request>(request{
            .kind = kind,
            .host = m_random() % m_hosts.size(),
            .number = number,
            .asked_at = m_now,
            .choice = {},
            .decode_engine = {},
            .prefix = prefix,
            .parts = {{.id = prefix, .tokens = static_cast<std::uint32_t>(described.shared_tokens)},
                      {.id = 1'000'000'000 + number, .tokens = static_cast<std::uint32_t>(described.own_tokens)}}});
        ++get_second(*incoming).asked;
        post(m_options.kinds[kind].patience, [this, incoming] {
            if (!incoming->has_ended && !incoming->has_first_event) {
                m_hosts[incoming->host]->on_caller_left(incoming);
            }
        });
        m_hosts[incoming->host]->handle(incoming);
    });
}

void modelled_fleet::begin_burst() {
    m_is_burst = true;
    for (std::size_t number = 0; number < m_options.burst.lost_prefill_engines; ++number) {
        m_engines[number]->lose();
    }
    for (std::size_t number = 0; number < m_options.burst.lost_decode_engines; ++number) {
        m_engines[m_options.prefill_engines + number]->lose();
    }
    update_engines();
}

void modelled_fleet::end_burst() {
    m_is_burst = false;
    for (const std::unique_ptr<engine>& item : m_engines) {
        item->recover();
    }
    update_engines();
}

void modelled_fleet::exchange_loads() {
    for (std::size_t sender = 0; sender < m_hosts.size(); ++sender) {
        std::map<backend_server_name, policy::host_engine_load> shares;
        for (const auto& [name, entry] : m_hosts[sender]->get_engines().load_tracker.get_engines()) {
            if (!entry.own.prompts.empty() || entry.own.running > 0) {
                shares.emplace(name, entry.own);
            }
        }
        for (std::size_t receiver = 0; receiver < m_hosts.size(); ++receiver) {
            if (receiver != sender && get_group(receiver) == get_group(sender)) {
                m_hosts[receiver]->get_engines().load_tracker.set_host_load(get_host_name(sender), shares, m_now);
            }
        }
    }
    post(exchange_interval, [this] { exchange_loads(); });
}

void modelled_fleet::exchange_speeds() {
    for (std::size_t sender = 0; sender < m_hosts.size(); ++sender) {
        for (const engine_stage stage : {engine_stage::prefill, engine_stage::decode}) {
            const auto sums = m_hosts[sender]->get_engines().speeds.get(stage).get_own_sums(m_now);
            for (std::size_t receiver = 0; receiver < m_hosts.size(); ++receiver) {
                if (receiver != sender && get_group(receiver) == get_group(sender)) {
                    m_hosts[receiver]->get_engines().speeds.get(stage).merge(get_host_name(sender), sums, m_now);
                }
            }
        }
    }
    post(group_exchange_interval, [this] { exchange_speeds(); });
}

std::vector<modelled_second> modelled_fleet::run() {
    for (std::size_t kind = 0; kind < m_options.kinds.size(); ++kind) {
        schedule_arrival(kind);
    }
    exchange_loads();
    exchange_group_loads();
    exchange_speeds();
    post(m_options.burst.begin, [this] { begin_burst(); });
    post(m_options.burst.begin + m_options.burst.length, [this] { end_burst(); });
    const steady_time end = m_began_at + m_options.length;
    while (!m_events.empty() && m_events.top().at < end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    return m_seconds;
}

} // namespace dragonflywell::testing
