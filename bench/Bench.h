// The benches of this project. Each prints its figures and returns 0 when it ran to its end.
#pragma once

namespace damasklink::bench {

// Adds one row to the table in Main.cpp for each bench; declare it here.

} // namespace damasklink::bench
