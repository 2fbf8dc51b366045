#include "damasklink/state/Fault.h"
#include "damasklink/state/Text.h"

namespace damasklink {

std::string
FormatFault(const Fault& aFault)
{
  return Concat(aFault.file,
                ":",
                aFault.line,
                ": ",
                aFault.key.empty() ? "(file)" : aFault.key,
                ": ",
                aFault.problem,
                "; ",
                aFault.remedy);
}

} // namespace damasklink
