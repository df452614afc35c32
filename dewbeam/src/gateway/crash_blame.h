/// \file
/// Which contents end the upstreams that run them: what a gateway finds out by itself, tells the
/// registries, and hears from them.
///
/// An attempt that ends without an answer blames nobody: connections break for many reasons. Only
/// the end of the upstream's life does, as its host refuses connections, another process has its
/// name or address, or its announcements stop while those of its neighbours go on. An upstream that
/// left as planned blames nobody.
#pragma once

#include <functional>

#include "dewbeam/registry"
#include "dewbeam/src/gateway/gateway_request.h"
#include "dewbeam/src/gateway/loss_watch.h"
#include "dewbeam/src/registrar/suspicion_board.h"

namespace dewbeam::gateway {

struct gateway_state;

/// An attempt's connection ended before the answer did. `then` is called once it is known, or can't
/// be told soon, whether the upstream ended: what is sent on before could end another one.
void judge_broken_attempt(gateway_state& state, const request_pointer& request,
                          const sent_attempt& sent, std::function<void()> then, time_point now);

/// An attempt at an upstream that has not begun to answer is late, or was given up.
void judge_silent_attempt(gateway_state& state, const request_pointer& request,
                          const sent_attempt& sent, time_point now);

/// A run ended well.
void note_good_run(gateway_state& state, const request_pointer& request, time_point now);

/// An upstream answered something.
void note_sign_of_life(gateway_state& state, const sent_attempt& sent, time_point now);

/// The registries told a change of an upstream; before the upstream table takes it in.
void judge_change(gateway_state& state, const registry::record& changed, time_point now);

/// The registries told something of a content.
void take_suspicion(gateway_state& state, const registrar::noted_suspicion& heard, time_point now);

/// The registries told which suspected contents this gateway may run now.
void take_turns(gateway_state& state, const std::vector<fingerprint>& granted, time_point now);

/// What is due each tick: turns that are wanted.
void ask_for_turns(gateway_state& state, time_point now);

/// What is due less often: silent upstreams that didn't come back.
void judge_silent_upstreams(gateway_state& state, time_point now);

}  // namespace dewbeam::gateway
