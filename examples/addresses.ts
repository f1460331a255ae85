/**
 * Addresses of the form `10.AVAILABILITY-ZONE.SERVICE.NUMBER`, the availability zones in turn. Your
 * own program reads them from where your platform lists its instances.
 */
export function addressesOf(
  serviceNumber: number,
  serverCount: number,
  availabilityZoneCount: number,
): string[] {
  return Array.from({ length: serverCount }, (_, index) => {
    const zone = (index % availabilityZoneCount) + 1;
    const serverNumber = Math.floor(index / availabilityZoneCount) + 1;
    return `10.${zone}.${serviceNumber}.${serverNumber}:8080`;
  });
}
