#include "AgreementPart.h"

namespace damasklink {

AgreementPart::AgreementPart(const HostContext& aContext)
  : context(aContext)
  , module(aContext)
{
}

Result<void>
AgreementPart::Start()
{
  this->context.control.Add(Channel::Agreement, this->module);
  return this->module.Open();
}

void
AgreementPart::AddRoutes(const HostServers& /*aServers*/)
{
}

} // namespace damasklink
