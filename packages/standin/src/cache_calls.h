#ifndef BULRUSHPITCH_STANDIN_CACHE_CALLS_H
#define BULRUSHPITCH_STANDIN_CACHE_CALLS_H

#include "engine_state.h"

#include <string>

namespace bulrushpitch::standin {

/// @brief Answers GET /cache-events.
HttpResponse cacheEvents(const EngineState &Engine, const HttpRequest &Request);

/// @brief Answers GET and POST /kv/<prefix>.
/// @throw BadRequest if the prefix is not a hash
HttpResponse keysAndValues(EngineState &Engine, const std::string &Prefix, const HttpRequest &Request);

} // namespace bulrushpitch::standin

#endif // BULRUSHPITCH_STANDIN_CACHE_CALLS_H
