#include "modelled_fleet.hpp"

#include <algorithm>
#include <string>

#include "policy/first_event_admission.hpp"

namespace dragonflywell::testing {

namespace {

using namespace std::chrono_literals;
using fleet::engine_stage;

constexpr duration network_time = 1500us;
/// How long an engine takes a prompt up before it can be read.
constexpr duration reception = 10ms;
constexpr double prefill_tokens_per_ms = 64;
constexpr double decode_tokens_per_ms = 32;
constexpr std::uint64_t decode_piece_tokens = 512;
constexpr duration step_time = 3700us;
constexpr duration step_time_per_stream = 20us;
/// Events of a stream that a host looks at together, to save time.
constexpr std::uint64_t events_at_once = 4;
constexpr std::size_t slots = 64;
constexpr std::uint64_t memory_tokens = 520'000;
constexpr duration exchange_interval = 50ms;
constexpr duration group_exchange_interval = 500ms;
/// Part of the memory of an engine that holds shared prefixes.
constexpr double cache_share = 0.6;

duration get_read_time(std::uint64_t tokens, double tokens_per_ms) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(static_cast<double>(tokens) / tokens_per_ms));
}

double get_milliseconds(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

std::string get_host_name(std::size_t number) {
    return "host-" + std::to_string(number);
}

} // namespace

class modelled_fleet::fleet_clock final : public clock_source {
public:
    explicit fleet_clock(const modelled_fleet& fleet) : m_fleet(&fleet) {}

    [[nodiscard]] steady_time now() const override { return m_fleet->m_now; }
    [[nodiscard]] steady_time now_with_suspension() const override { return m_fleet->m_now; }
    [[nodiscard]] wall_time wall_now() const override { return wall_time(m_fleet->m_now.time_since_epoch()); }

private:
    const modelled_fleet* m_fleet;
};

struct modelled_fleet::request {
    std::size_t kind{};
    std::size_t host{};
    std::uint64_t number{};
    steady_time asked_at{};
    std::size_t tries{0};
    policy::engine_choice choice;
    backend_server_name decode_engine;
    steady_time sent_at{};
    steady_time first_event_at{};
    std::unique_ptr<servers::engine_observation> observation;
    /// Urgency at the engine to which it was sent last.
    std::uint32_t urgency{};
    bool is_prefilled{false};
    bool has_first_event{false};
    bool has_ended{false};
    std::uint64_t prefix{};
    std::vector<policy::prefix_block> parts;
    /// On the engine: what is left to read and to generate.
    std::uint64_t unread_tokens{0};
    std::uint64_t left_tokens{0};
};

/// One engine. Calls back when a prefill ends, at the first event of a stream, and at its end.
class modelled_fleet::engine {
public:
    engine(modelled_fleet& fleet, std::size_t number, engine_stage stage)
        : m_fleet(&fleet), m_number(number), m_name(std::to_string(1000 + number)), m_stage(stage) {}

    [[nodiscard]] const backend_server_name& get_name() const noexcept { return m_name; }
    [[nodiscard]] engine_stage get_stage() const noexcept { return m_stage; }
    [[nodiscard]] bool is_lost() const noexcept { return m_is_lost; }

    /// Accepts a request. Precondition: the engine is not lost.
    void accept(const request_ptr& accepted) {
        m_waiting.push_back(accepted);
        wake();
    }

    /// Drops all requests and the cache, like an engine that has crashed.
    void lose();
    void recover() { m_is_lost = false; }

    /// Uses a shared prefix. Returns whether it is in the cache, which it is afterwards.
    bool use_prefix(std::uint64_t prefix, std::uint64_t tokens);
    [[nodiscard]] bool has_prefix(std::uint64_t prefix) const {
        return std::find_if(m_cache.begin(), m_cache.end(), [&](const auto& item) { return item.first == prefix; }) !=
               m_cache.end();
    }

private:
    void wake() {
        if (!m_is_working) {
            work();
        }
    }
    void work() {
        m_waiting.remove_if([](const request_ptr& item) { return item->has_ended; });
        m_running.remove_if([](const request_ptr& item) { return item->has_ended; });
        m_stage == engine_stage::prefill ? read_next_prompt() : make_step();
    }
    /// Returns the most urgent request of those that wait, the first among equals.
    [[nodiscard]] std::list<request_ptr>::iterator find_next() {
        return std::min_element(m_waiting.begin(), m_waiting.end(),
                                [](const auto& left, const auto& right) { return left->urgency < right->urgency; });
    }
    [[nodiscard]] bool is_reading() const {
        return std::any_of(m_running.begin(), m_running.end(),
                           [](const request_ptr& item) { return item->unread_tokens > 0; });
    }
    void read_next_prompt();
    void make_step();
    void end_step(const request_ptr& reading, std::uint64_t read_tokens);

    /// Returns how long work takes now that takes the given time at the speed 1.
    [[nodiscard]] duration get_time(duration work) const {
        const double speed = m_fleet->m_options.get_speed(m_number, m_fleet->m_now - m_fleet->m_began_at);
        return std::chrono::duration_cast<duration>(work / speed);
    }

    modelled_fleet* m_fleet;
    std::size_t m_number;
    backend_server_name m_name;
    engine_stage m_stage;
    bool m_is_working{false};
    bool m_is_lost{false};
    std::list<request_ptr> m_waiting;
    std::list<request_ptr> m_running;
    /// Shared prefixes with their tokens, the one used last at the front.
    std::list<std::pair<std::uint64_t, std::uint64_t>> m_cache;
    std::uint64_t m_cached_tokens{0};
};

/// One host, with the decisions of the daemon.
class modelled_fleet::host {
public:
    host(modelled_fleet& fleet, std::size_t number) : m_fleet(&fleet), m_number(number) {
        m_engines.speeds.set_enabled(fleet.m_options.learns_speeds);
        m_engines.set_description({.slots = slots, .kv_capacity_tokens = memory_tokens});
    }

    [[nodiscard]] servers::service_engines& get_engines() noexcept { return m_engines; }

    void handle(const request_ptr& incoming);
    void on_prefilled(const request_ptr& read);
    void on_first_event(const request_ptr& begun);
    /// Some events came, `events_at_once` together.
    void on_events(const request_ptr& of);
    void on_end(const request_ptr& ended);
    /// The engine of a request was lost.
    void on_lost(const request_ptr& lost);
    void on_caller_left(const request_ptr& left);

private:
    [[nodiscard]] const modelled_kind& get_kind(const request& of) const { return m_fleet->m_options.kinds[of.kind]; }
    [[nodiscard]] policy::generation_requirements get_requirements(const request& of) const;
    [[nodiscard]] policy::engine_status get_status(const backend_server_name& name, std::uint64_t prompt_key) const;
    [[nodiscard]] static double get_observed_speed(const request& of) {
        return of.observation != nullptr ? of.observation->get_speed() : 1;
    }
    [[nodiscard]] std::uint64_t get_prompt_tokens(const request& of) const {
        return get_kind(of).shared_tokens + get_kind(of).own_tokens;
    }
    [[nodiscard]] std::uint64_t get_needed_tokens(const request& of) const {
        return get_prompt_tokens(of) + get_kind(of).output_tokens;
    }
    /// Returns whether the request was rejected since its caller would have left.
    bool reject_if_hopeless(const request_ptr& incoming);
    void send(const request_ptr& sent, const backend_server_name& to);
    void start_prefill(const request_ptr& of, const backend_server_name& on);
    void generate(const request_ptr& of, const backend_server_name& on);
    void observe(const request_ptr& of, const backend_server_name& on, duration expected);

    modelled_fleet* m_fleet;
    std::size_t m_number;
    servers::service_engines m_engines;
};

// Engines

void modelled_fleet::engine::lose() {
    m_is_lost = true;
    std::list<request_ptr> dropped = std::move(m_waiting);
    dropped.splice(dropped.end(), m_running);
    m_waiting.clear();
    m_running.clear();
    m_cache.clear();
    m_cached_tokens = 0;
    for (const request_ptr& item : dropped) {
        if (!item->has_ended) {
            m_fleet->m_hosts[item->host]->on_lost(item);
        }
    }
}

bool modelled_fleet::engine::use_prefix(std::uint64_t prefix, std::uint64_t tokens) {
    const auto found =
        std::find_if(m_cache.begin(), m_cache.end(), [&](const auto& item) { return item.first == prefix; });
    if (found != m_cache.end()) {
        m_cache.splice(m_cache.begin(), m_cache, found);
        return true;
    }
    m_cache.emplace_front(prefix, tokens);
    m_cached_tokens += tokens;
    while (static_cast<double>(m_cached_tokens) > cache_share * static_cast<double>(memory_tokens)) {
        m_cached_tokens -= m_cache.back().second;
        m_cache.pop_back();
    }
    return false;
}

void modelled_fleet::engine::read_next_prompt() {
    if (m_waiting.empty()) {
        return;
    }
    const auto position = find_next();
    const request_ptr next = *position;
    m_waiting.erase(position);
    m_is_working = true;
    m_fleet->post(get_time(get_read_time(next->unread_tokens, prefill_tokens_per_ms)), [this, next] {
        m_is_working = false;
        if (!next->has_ended) {
            m_fleet->post(network_time, [this, next] { m_fleet->m_hosts[next->host]->on_prefilled(next); });
        }
        work();
    });
}

void modelled_fleet::engine::make_step() {
    while (!m_waiting.empty() && m_running.size() < slots) {
        const auto next = find_next();
        // The next prompt begins when the one before it has been read, and nothing overtakes it.
        if ((*next)->unread_tokens > 0 && is_reading()) {
            break;
        }
        m_running.push_back(*next);
        m_waiting.erase(next);
    }
    if (m_running.empty()) {
        return;
    }
    const auto unread =
        std::find_if(m_running.begin(), m_running.end(), [](const auto& item) { return item->unread_tokens > 0; });
    const request_ptr reading = unread == m_running.end() ? nullptr : *unread;
    const std::uint64_t read_tokens = reading == nullptr ? 0 : std::min(reading->unread_tokens, decode_piece_tokens);
    m_is_working = true;
    const duration taken = step_time + step_time_per_stream * static_cast<std::int64_t>(m_running.size()) +
                           get_read_time(read_tokens, decode_tokens_per_ms);
    m_fleet->post(get_time(taken), [this, reading, read_tokens] { end_step(reading, read_tokens); });
}

void modelled_fleet::engine::end_step(const request_ptr& reading, std::uint64_t read_tokens) {
    m_is_working = false;
    for (const request_ptr& stream : m_running) {
        if (stream->has_ended || stream->unread_tokens > 0) {
            continue;
        }
        host& receiver = *m_fleet->m_hosts[stream->host];
        if (!stream->has_first_event) {
            stream->has_first_event = true;
            m_fleet->post(network_time, [&receiver, stream] { receiver.on_first_event(stream); });
        } else if (stream->left_tokens % events_at_once == 1) {
            m_fleet->post(network_time, [&receiver, stream] { receiver.on_events(stream); });
        }
        if (--stream->left_tokens == 0) {
            stream->has_ended = true;
            m_fleet->post(network_time, [&receiver, stream] { receiver.on_end(stream); });
        }
    }
    if (reading != nullptr) {
        reading->unread_tokens -= read_tokens;
    }
    work();
}

// Hosts

policy::generation_requirements modelled_fleet::host::get_requirements(const request& of) const {
    const modelled_kind& kind = get_kind(of);
    policy::generation_requirements requirements{.prompt_tokens = get_prompt_tokens(of),
                                                 .output_tokens = kind.output_tokens,
                                                 .parts = of.parts,
                                                 .seed = of.number,
                                                 .priority = kind.priority,
                                                 .target = {}};
    const duration waited = m_fleet->m_now - of.asked_at;
    if (kind.target > waited) {
        requirements.target = kind.target - waited;
    }
    return requirements;
}

policy::engine_status modelled_fleet::host::get_status(const backend_server_name& name,
                                                       std::uint64_t prompt_key) const {
    if (m_fleet->find_engine(name).is_lost()) {
        return {.usability = policy::engine_usability::unusable};
    }
    policy::engine_status status;
    const std::size_t group = m_fleet->get_engine_group(name);
    if (group != m_fleet->get_group(m_number)) {
        policy::add_remote_load(status, m_fleet->m_group_loads[group], name, prompt_key);
    }
    return status;
}

void modelled_fleet::host::handle(const request_ptr& incoming) {
    const auto lookup = [&](const backend_server_name& name) { return get_status(name, incoming->prefix); };
    m_engines.speeds.refresh(m_fleet->m_now);
    const std::optional<policy::engine_choice> choice = policy::choose_engines(
        m_engines.load_tracker, m_engines.get_costs(), get_requirements(*incoming), lookup, m_fleet->m_now);
    if (!choice) {
        incoming->has_ended = true;
        ++m_fleet->get_second(*incoming).rejected;
        return;
    }
    incoming->choice = *choice;
    if (reject_if_hopeless(incoming)) {
        return;
    }
    if (choice->prefill_engine) {
        start_prefill(incoming, *choice->prefill_engine);
        send(incoming, *choice->prefill_engine);
    } else {
        ++m_fleet->get_second(*incoming).direct;
        start_prefill(incoming, choice->decode_engine);
        generate(incoming, choice->decode_engine);
    }
}

bool modelled_fleet::host::reject_if_hopeless(const request_ptr& incoming) {
    const modelled_kind& kind = get_kind(*incoming);
    const duration patience = incoming->asked_at + kind.patience - m_fleet->m_now;
    const std::optional<duration> delay = policy::get_rejection_delay(
        {.expected = incoming->choice.time_to_first_event, .patience = patience, .target = kind.target},
        m_fleet->draw());
    if (!delay) {
        return false;
    }
    // A caller comes back once, if there is time for it.
    if (incoming->tries++ == 0 && *delay < patience / 3) {
        m_fleet->post(*delay, [this, incoming] { handle(incoming); });
        return true;
    }
    incoming->has_ended = true;
    ++m_fleet->get_second(*incoming).rejected;
    return true;
}

void modelled_fleet::host::start_prefill(const request_ptr& of, const backend_server_name& on) {
    of->sent_at = m_fleet->m_now;
    m_engines.load_tracker.start_prefill(on,
                                         {.number = of->number,
                                          .sent_at = m_fleet->m_now,
                                          .cost = of->choice.prefill_occupancy,
                                          .urgency = of->choice.urgency},
                                         of->parts);
    m_fleet->share_prefix(m_number, on, of->parts);
    observe(of, on, servers::get_base_prefill_time(of->choice));
}

void modelled_fleet::host::observe(const request_ptr& of, const backend_server_name& on, duration expected) {
    of->observation = std::make_unique<servers::engine_observation>(
        m_engines.speeds, *m_fleet->m_clock, servers::get_engine_use(m_engines.load_tracker, on), expected);
}

void modelled_fleet::host::send(const request_ptr& sent, const backend_server_name& to) {
    sent->urgency = policy::get_generation_urgency(sent->choice, sent->is_prefilled);
    engine& receiver = m_fleet->find_engine(to);
    m_fleet->post(network_time + reception, [this, sent, &receiver] {
        if (sent->has_ended) {
            return;
        }
        if (receiver.is_lost()) {
            on_lost(sent);
            return;
        }
        if (!sent->is_prefilled) {
            const modelled_kind& kind = get_kind(*sent);
            const std::optional<backend_server_name>& source = sent->choice.prefix_source;
            const bool is_fetched = source && m_fleet->find_engine(*source).has_prefix(sent->prefix);
            const bool is_cached = receiver.use_prefix(sent->prefix, kind.shared_tokens);
            sent->unread_tokens = kind.own_tokens + (is_cached || is_fetched ? 0 : kind.shared_tokens);
        }
        receiver.accept(sent);
    });
}

void modelled_fleet::host::generate(const request_ptr& of, const backend_server_name& on) {
    of->decode_engine = on;
    of->left_tokens = get_kind(*of).output_tokens;
    of->sent_at = m_fleet->m_now;
    m_engines.load_tracker.start_decode(on, get_needed_tokens(*of), of->parts);
    if (of->is_prefilled) {
        observe(of, on, m_engines.get_costs().first_event);
    }
    send(of, on);
}

void modelled_fleet::host::on_prefilled(const request_ptr& read) {
    if (read->has_ended) {
        return;
    }
    const duration taken = m_fleet->m_now - read->sent_at;
    m_engines.load_tracker.end_prefill(*read->choice.prefill_engine, read->number, m_fleet->m_now);
    m_engines.record_wait(read->choice, taken);
    if (read->choice.known_wait == duration::zero()) {
        m_engines.record_prefill(read->choice, taken, read->observation->get_speed());
    }
    read->observation->finish();
    read->is_prefilled = true;
    read->unread_tokens = 0;
    const std::optional<backend_server_name> chosen = policy::choose_decode_engine(
        m_engines.load_tracker, get_requirements(*read), zone_name("z"),
        [&](const backend_server_name& name) { return get_status(name, read->prefix); },
        m_engines.speeds.find(engine_stage::decode));
    if (!chosen) {
        read->has_ended = true;
        ++m_fleet->get_second(*read).rejected;
        return;
    }
    generate(read, *chosen);
}

void modelled_fleet::host::on_first_event(const request_ptr& begun) {
    const modelled_kind& kind = get_kind(*begun);
    const duration taken = m_fleet->m_now - begun->sent_at;
    if (begun->is_prefilled) {
        m_engines.record_first_event(taken, get_observed_speed(*begun));
    } else {
        m_engines.load_tracker.end_prefill(begun->decode_engine, begun->number, m_fleet->m_now);
        m_engines.record_wait(begun->choice, taken);
        if (begun->choice.known_wait == duration::zero()) {
            m_engines.record_prefill(begun->choice, taken, 1);
        }
    }
    // The engine may have been lost, or the caller may have left, while the event was on its way.
    if (begun->observation != nullptr) {
        begun->observation->record_events("data\n\n");
        begun->observation->record_sent();
    }
    begun->first_event_at = m_fleet->m_now;
    modelled_second& second = m_fleet->get_second(*begun);
    second.first_event_ms.push_back(get_milliseconds(m_fleet->m_now - begun->asked_at));
    ++(m_fleet->m_now - begun->asked_at <= kind.target ? second.in_time : second.late);
}

void modelled_fleet::host::on_events(const request_ptr& of) {
    if (of->observation != nullptr) {
        of->observation->record_events("\n\n--\n\n--\n\n--\n\n");
        of->observation->record_sent();
    }
}

void modelled_fleet::host::on_end(const request_ptr& ended) {
    if (ended->observation != nullptr) {
        ended->observation->end_stream();
    }
    m_fleet->get_second(*ended).stream_ms.push_back(get_milliseconds(m_fleet->m_now - ended->first_event_at));
    m_engines.load_tracker.end_decode(ended->decode_engine, get_needed_tokens(*ended));
}

void modelled_fleet::host::on_lost(const request_ptr& lost) {
    lost->has_ended = true;
    lost->observation.reset();
    if (!lost->decode_engine.value().empty()) {
        m_engines.load_tracker.end_decode(lost->decode_engine, get_needed_tokens(*lost));
    }
    m_engines.load_tracker.end_prefill(lost->choice.prefill_engine.value_or(lost->decode_engine), lost->number,
                                       m_fleet->m_now);
    if (!lost->has_first_event) {
        ++m_fleet->get_second(*lost).abandoned;
    }
}

void modelled_fleet::host::on_caller_left(const request_ptr& left) {
    left->has_ended = true;
    left->observation.reset();
    ++m_fleet->get_second(*left).abandoned;
    m_fleet->get_second(*left).first_event_ms.push_back(get_milliseconds(m_fleet->m_now - left->asked_at));
    const duration taken = m_fleet->m_now - left->sent_at;
    if (!left->is_prefilled) {
        m_engines.load_tracker.end_prefill(left->choice.prefill_engine.value_or(left->choice.decode_engine),
                                           left->number, m_fleet->m_now);
        m_engines.record_wait(left->choice, taken);
    }
    if (!left->decode_engine.value().empty()) {
        m_engines.load_tracker.end_decode(left->decode_engine, get_needed_tokens(*left));
    }
}

// The fleet

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
                                                                           .slots = slots,
                                                                           .memory_tokens = memory_tokens,
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
