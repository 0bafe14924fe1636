#include "modelled_host.hpp"

#include "modelled_clock.hpp"
#include "policy/first_event_admission.hpp"

namespace dragonflywell::testing {

namespace {

using namespace std::chrono_literals;
using fleet::engine_stage;

/// How long an engine takes a prompt up before it can be read.
constexpr duration reception = 10ms;

double get_milliseconds(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

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

} // namespace dragonflywell::testing
